package explain_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/fault"
)

func TestRecorderHoldsOnlyTheLastRequests(t *testing.T) {
	r := explain.New("a", 2)
	for _, id := range []string{"1", "2", "3"} {
		r.Begin(api.RequestID(id), "w")
		r.Record(api.RequestID(id), "start", "capacity at once")
	}
	if _, err := r.Find("1"); !fault.Has(err, fault.UnknownRequest) {
		t.Errorf("oldest request: got %v, want unknown_request", err)
	}
	e, err := r.Find("3")
	if err != nil || len(e.Decisions) != 1 {
		t.Errorf("newest request: got %+v, %v, want one decision", e, err)
	}
}

func TestRecordOfOneRequestIsBounded(t *testing.T) {
	r := explain.New("a", 1)
	r.Begin("1", "w")
	for range 1000 {
		r.Record("1", "resume", "again")
	}
	e, _ := r.Find("1")
	if got, want := len(e.Decisions), 64; got != want {
		t.Errorf("decisions: got %d, want %d", got, want)
	}
}
