package repeat_test

import (
	"slices"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/repeat"
)

func TestServersOfOtherHoldersAreKnown(t *testing.T) {
	p := repeat.NewPlaces[int]()
	check := func(when string, id api.RequestID, h int, want ...api.ServerName) {
		t.Helper()
		if got := p.Others(id, h); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", when, got, want)
		}
	}
	check("empty", "a", 1)
	p.Hold("a", "s2", 1)
	p.Hold("a", "s1", 1)
	p.Hold("a", "s1", 1)
	p.Hold("b", "s3", 2)
	check("own servers", "a", 1)
	check("servers of another holder", "a", 2, "s1", "s2")
	p.Hold("a", "s2", 2)
	check("server of both", "a", 1, "s2")
	p.Release("a", "s1", 1)
	check("server that is held twice and released once", "a", 2, "s1", "s2")
	p.Release("a", "s1", 1)
	check("server that is released", "a", 2, "s2")
	p.Release("a", "s2", 2)
	p.Release("a", "s2", 1)
	check("all released", "a", 3)
	check("another ID", "b", 1, "s3")
}
