package api_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

// Every version of a later era must be newer than all versions of an earlier era.
func TestVersionsOrderErasFirst(t *testing.T) {
	l := []api.Version{
		api.NewVersion(0, 0), api.NewVersion(0, 25), api.NewVersion(0, api.MaxRevision),
		api.NewVersion(1, 0), api.NewVersion(1, 21), api.NewVersion(1, 25), api.NewVersion(2, 1),
	}
	for i := 1; i < len(l); i++ {
		if l[i] <= l[i-1] {
			t.Errorf("got %v not above %v, want it newer", l[i], l[i-1])
		}
	}
}

func TestVersionParts(t *testing.T) {
	tests := []struct {
		version api.Version
		era     api.Era
		rev     api.Revision
		text    string
	}{
		{api.NewVersion(0, 25), 0, 25, "25"},
		{api.NewVersion(2, 21), 2, 21, "2.21"},
		{api.NewVersion(8191, api.MaxRevision), 8191, api.MaxRevision, "8191.1099511627775"},
	}
	for _, c := range tests {
		if c.version.Era() != c.era || c.version.Revision() != c.rev || c.version.String() != c.text {
			t.Errorf("got era %d revision %d as %s, want %d, %d and %s", c.version.Era(), c.version.Revision(), c.version, c.era, c.rev, c.text)
		}
	}
}
