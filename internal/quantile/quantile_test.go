package quantile_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/quantile"
)

func TestSummary(t *testing.T) {
	q := quantile.New()
	for i := range 100 {
		q.Record(time.Duration(i+1) * time.Millisecond)
	}
	got := q.Summary()
	if got.Count != 100 || got.P50 < 49 || got.P50 > 51 || got.P99 < 98 || got.P99 > 100 || got.Max < 100 || got.Max > 101 {
		t.Errorf("got %+v, want 100 durations of 1 to 100 ms", got)
	}
	q.Record(48 * time.Hour)
	if got, want := q.Summary().Max, 3.6e6; got < 0.99*want || got > 1.01*want {
		t.Errorf("beyond an hour: got %v ms, want about %v", got, want)
	}
}
