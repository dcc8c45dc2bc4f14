package soak

import "testing"

func TestProbeDerivesVersionsFromStatus(t *testing.T) {
	const unknown = 401
	current, removed := versionedName{from: 5}, versionedName{from: 5, until: 9}
	tests := []struct {
		name        string
		status      int
		x           versionedName
		ok          bool
		from, until int64
	}{
		{"known and not removed", 200, current, true, 5, 0},
		{"known although removed", 200, removed, true, 5, 9},
		{"not known yet", unknown, current, true, 0, 5},
		{"not known and removed", unknown, removed, false, 0, 0},
		{"refused for another reason", 503, current, false, 0, 0},
	}
	for _, c := range tests {
		var p Probe
		ok := p.setVersions(c.status, unknown, c.x)
		if ok != c.ok || p.FromVersion != c.from || p.BeforeVersion != c.until {
			t.Errorf("%s: got %v with versions from %d until %d, want %v from %d until %d", c.name, ok, p.FromVersion, p.BeforeVersion, c.ok, c.from, c.until)
		}
	}
}
