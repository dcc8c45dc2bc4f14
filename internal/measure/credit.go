package measure

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/credit"
)

// Times of the arbiters: how often each entry VM asks each engine's, how long
// a grant lasts, and how long a message takes.
const (
	creditEvery = 100 * time.Millisecond
	creditLife  = time.Second
	creditDelay = time.Millisecond
)

// wantPart is the part of the engine's memory that an entry VM asks for beside
// what it holds.
const wantPart = 8

// ask renews an entry VM's grant at an engine's arbiter, again and again. An
// arbiter that died is followed by one that knows nothing.
func (b *bench) ask(i int, e *entry, x *engine) {
	b.after(creditEvery, func() { b.ask(i, e, x) })
	z := math.Sqrt2 * math.Erfinv(1-2*overflow)
	q := credit.Ask{
		VM:   api.VMName(rune('a' + i)),
		Held: e.decide.Ahead(x.name, z),
		Want: b.size.Batch.KVTokens / wantPart,
	}
	b.after(creditDelay, func() {
		if x.arbiter == nil {
			x.arbiter = credit.New(b.now, b.size.Batch.KVTokens, creditLife)
		}
		g := x.arbiter.Ask(b.now, q)
		b.after(creditDelay, func() { b.carry(e, e.decide.Credit(b.now, x.name, g)) })
	})
}
