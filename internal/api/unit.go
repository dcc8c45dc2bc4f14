package api

import (
	"strings"
	"time"
)

// Duration converts to the standard type.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// ToMilliseconds rounds a duration down to whole milliseconds.
func ToMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(d / time.Millisecond)
}

// UnixMilliseconds gives a time in ms since the Unix epoch.
func UnixMilliseconds(t time.Time) Milliseconds {
	return Milliseconds(t.UnixMilli())
}

// Rank orders priorities; a lower rank goes first.
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

// Item names a loaded model or adapter as kind/name@weights.
func Item(k ResourceKind, name, weights string) string {
	return string(k) + "/" + name + "@" + weights
}

// ItemName gives the kind/name part of an item.
func ItemName(item string) string {
	n, _, _ := strings.Cut(item, "@")
	return n
}
