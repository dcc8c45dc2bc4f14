package api

import (
	"strings"
	"time"
)

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// ToMilliseconds rounds a duration down to whole milliseconds.
func ToMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(d / time.Millisecond)
}

// UnixMilliseconds returns a time as milliseconds since the Unix epoch.
func UnixMilliseconds(t time.Time) Milliseconds {
	return Milliseconds(t.UnixMilli())
}

// Rank returns the rank of a priority; a lower rank is served first.
func (p Priority) Rank() int {
	switch p {
	case PriorityInteractive:
		return 0
	case PriorityBackground:
		return 2
	default:
		return 1
	}
}

// Item returns the identifier of a loaded model or adapter, kind/name@weights.
func Item(k ResourceKind, name, weights string) string {
	return string(k) + "/" + name + "@" + weights
}

// ItemName returns the kind/name part of an item's identifier.
func ItemName(item string) string {
	n, _, _ := strings.Cut(item, "@")
	return n
}
