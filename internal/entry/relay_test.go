package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/broker"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/metric"
)

// discardWriter is a response writer that discards what is written.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// stream encodes an engine's stream of a number of tokens.
func stream(tokens int) []byte {
	var b bytes.Buffer
	for i := range tokens + 1 {
		e := api.TokenEvent{Generation: "0123456789abcdef", Index: i, Text: " word"}
		if i == tokens {
			e.Text, e.Finish = "", string(api.FinishReasonStop)
		}
		j, _ := json.Marshal(e)
		b.WriteString("data: " + string(j) + "\n\n")
	}
	return b.Bytes()
}

// relay reads one encoded stream of an engine and sends it to the caller.
func relay(b *testing.B, s *Server, body []byte, w http.ResponseWriter) {
	b.Helper()
	c := &chat{request: &request{id: "r", workspace: config.Workspace{Name: "w"}, started: time.Now()}, engine: "e"}
	c.params.Model = "desk"
	k := newStreamSink(s, w, c)
	t := &attempt{server: s, chat: c, sink: k, answer: answer.New(answer.Policy{Repeatable: true, Deadline: time.Now().Add(time.Hour)}), lastToken: time.Now()}
	t.answer.Begin("0123456789abcdef")
	t.silenceTimer = time.NewTimer(time.Hour)
	x := engine.NewStream(io.NopCloser(bytes.NewReader(body)))
	if err := x.Each(k.Flush, t.handleEvent); err != nil {
		b.Fatal(err)
	}
	if f := k.Finish(); f != nil {
		b.Fatal(f)
	}
}

func relayServer() *Server {
	set := api.Settings{Entry: api.EntrySettings{SlowReaderMS: 1000}, Engine: api.EngineSettings{StallMS: 1000}}
	d := dispatch.New(dispatch.Options{Admission: admit.Slots{N: 1}, Routing: route.TwoChoices{}, QueueLimit: 1})
	return New(Options{Settings: set, Log: event.Discard(), Metrics: metric.New(), Broker: broker.New(d), Explain: explain.New("a", 1)})
}

// BenchmarkRelayToken measures the work for one token without the network.
func BenchmarkRelayToken(b *testing.B) {
	s := relayServer()
	const tokens = 1000
	body := stream(tokens)
	b.ReportAllocs()
	for n := 0; n < b.N; n += tokens {
		relay(b, s, body, discardWriter{http.Header{}})
	}
}

func TestRelayDeliversEveryEvent(t *testing.T) {
	w := httptest.NewRecorder()
	b := &testing.B{}
	relay(b, relayServer(), stream(50), w)
	if got, want := bytes.Count(w.Body.Bytes(), []byte("id: ")), 51; got != want {
		t.Errorf("events: got %d, want %d", got, want)
	}
}
