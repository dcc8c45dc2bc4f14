package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/sample"
)

// Class is one kind of request in a mix.
type Class struct {
	Name     string
	Share    float64
	Key      string
	Priority api.Priority
	// Chat marks chat completions; other classes call a plain service.
	Chat bool
	// System is the system message that all chats of the class share.
	System string
	// Prompt and Output are the distributions of lengths of chats.
	Prompt, Output Length
	// Method and Path are those of a call to a plain service.
	Method, Path string
	// NotRepeatable marks calls that must run at most once; they carry an idempotency key.
	NotRepeatable bool
}

// Length is a lognormal distribution of lengths in tokens, at least 1 and at most Max.
type Length struct {
	Median float64
	Sigma  float64
	Max    api.Tokens
}

// Draw draws one length.
func (l Length) Draw(r *rand.Rand) api.Tokens {
	n := api.Tokens(math.Round(l.Median * math.Exp(l.Sigma*r.NormFloat64())))
	return min(max(n, 1), l.Max)
}

// Mix is a set of request classes with their shares.
type Mix struct {
	Name    string
	Classes []Class
}

// Mixes returns the mixes of the two example users, and one of both in equal parts.
func Mixes() []Mix {
	s, a := skipHire(), airworks()
	both := Mix{Name: "both"}
	for _, c := range append(s.Classes, a.Classes...) {
		c.Share /= 2
		both.Classes = append(both.Classes, c)
	}
	return []Mix{s, a, both}
}

// FindMix returns the mix of a name.
func FindMix(name string) (Mix, bool) {
	for _, m := range Mixes() {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

func skipHire() Mix {
	const key = sample.KeyDispatch
	return Mix{Name: "skip-hire", Classes: []Class{
		{
			Name: "booking-chat", Share: 0.45, Key: key, Priority: api.PriorityInteractive, Chat: true,
			System: "You book skips for households, contractors and market vendors.",
			Prompt: Length{150, 0.5, 2000}, Output: Length{60, 0.8, 4000},
		},
		{
			Name: "permit-summary", Share: 0.25, Key: key, Priority: api.PriorityStandard, Chat: true,
			System: "You sum up permits for roadside skips.",
			Prompt: Length{900, 0.4, 6000}, Output: Length{200, 0.7, 6000},
		},
		{
			Name: "status-lookup", Share: 0.25, Key: key, Priority: api.PriorityInteractive, Chat: true,
			System: "You answer where a collection stands.",
			Prompt: Length{60, 0.4, 500}, Output: Length{15, 0.5, 300},
		},
		{Name: "delivery-booking", Share: 0.05, Key: key, Method: "POST", Path: "/orders/bookings/skip", NotRepeatable: true},
	}}
}

func airworks() Mix {
	const key = sample.KeyField
	return Mix{Name: "airworks", Classes: []Class{
		{
			Name: "service-chat", Share: 0.45, Key: key, Priority: api.PriorityInteractive, Chat: true,
			System: "You help a service engineer beside a compressor that is down.",
			Prompt: Length{300, 0.6, 3000}, Output: Length{120, 0.9, 6000},
		},
		{
			Name: "log-reading", Share: 0.15, Key: key, Priority: api.PriorityBackground, Chat: true,
			System: "You read a service log and suggest a fault code.",
			Prompt: Length{2500, 0.5, 8000}, Output: Length{400, 1.1, 8000},
		},
		{Name: "alarm-check", Share: 0.20, Key: key, Method: "GET", Path: "/orders/alarms"},
		{Name: "part-lookup", Share: 0.15, Key: key, Method: "GET", Path: "/orders/parts"},
		{Name: "order-confirmation", Share: 0.05, Key: key, Method: "POST", Path: "/orders/confirm", NotRepeatable: true},
	}}
}

// Arrival is one planned request.
type Arrival struct {
	At     time.Duration
	Class  *Class
	Prompt api.Tokens
	Output api.Tokens
	Serial int
}

// Plan draws n arrivals of a Poisson process at a rate per second; it depends only on the seed.
func Plan(m Mix, n int, perSecond float64, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, seed+1))
	l := make([]Arrival, 0, n)
	at := 0.0
	for i := range n {
		at += r.ExpFloat64() / perSecond
		c := m.pick(r)
		a := Arrival{At: time.Duration(at * float64(time.Second)), Class: c, Serial: i}
		if c.Chat {
			a.Prompt, a.Output = c.Prompt.Draw(r), c.Output.Draw(r)
		}
		l = append(l, a)
	}
	return l
}

func (m Mix) pick(r *rand.Rand) *Class {
	x := r.Float64()
	for i := range m.Classes {
		x -= m.Classes[i].Share
		if x < 0 {
			return &m.Classes[i]
		}
	}
	return &m.Classes[len(m.Classes)-1]
}
