package soak

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// deepNesting is more deeply nested than decoders of JSON accept.
var deepNesting = strings.Repeat("[", 12000) + strings.Repeat("]", 12000)

// foreignFields are members that replace or precede those of a valid entry, so that no server can have written it.
var foreignFields = []string{
	`"slots":"many","state":"resting"`,
	`"note":` + deepNesting,
	`"slots":9223372036854775807`,
	`"slots":1e400`,
	`"coldRemainingMs":9223372036854775807`,
	`"born":9223372036854775807`,
	`"address":"127.0.0.1:0"`,
	`"address":"127.0.0.1:99999"`,
	`"note":"` + "\x00\n" + `"`,
}

// memberName matches the name of a member of a JSON object at the beginning of a text.
var memberName = regexp.MustCompile(`^"\w+":`)

// writeForeignEntry writes an entry that no server can have, as another writer might, beside the valid ones; it is
// that of an existing server but for one of foreignFields, in turn.
func (b *testbed) writeForeignEntry(s *server) {
	x, _ := s.current()
	e, err := b.Wire.EncodeServer(x.Server)
	if err != nil {
		b.recordError(err)
		return
	}
	b.mutex.Lock()
	field := foreignFields[b.foreignEntries%len(foreignFields)]
	b.foreignEntries++
	b.mutex.Unlock()
	name := memberName.FindString(field)
	old := regexp.MustCompile(name + `("[^"]*"|[^,}]*),?`)
	e.Spec = append([]byte("{"+field+","), bytes.TrimPrefix(old.ReplaceAll(e.Spec, nil), []byte("{"))...)
	b.store.Write(hosted.Entry{Kind: e.Kind, Name: fmt.Sprintf("x-%d", time.Now().UnixNano()), Spec: e.Spec})
}
