package soak

import "testing"

func TestProbeTellsWhichVersionsAnswerSo(t *testing.T) {
	const unknown = 401
	stands, gone := versionedName{from: 5}, versionedName{from: 5, until: 9}
	tests := []struct {
		name        string
		status      int
		x           versionedName
		ok          bool
		from, until int64
	}{
		{"known and standing", 200, stands, true, 5, 0},
		{"known though removed", 200, gone, true, 5, 9},
		{"not known yet", unknown, stands, true, 0, 5},
		{"not known, and removed", unknown, gone, false, 0, 0},
		{"refused for another reason", 503, stands, false, 0, 0},
	}
	for _, c := range tests {
		var p Probe
		ok := p.setVersions(c.status, unknown, c.x)
		if ok != c.ok || p.FromVersion != c.from || p.Until != c.until {
			t.Errorf("%s: got %v from %d until %d, want %v from %d until %d", c.name, ok, p.FromVersion, p.Until, c.ok, c.from, c.until)
		}
	}
}
