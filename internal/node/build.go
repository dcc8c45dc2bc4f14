package node

import (
	"runtime/debug"

	"go.uber.org/zap"
)

// buildFields are the log fields of the source from which this program was built.
func buildFields() []zap.Field {
	i, ok := debug.ReadBuildInfo()
	if !ok {
		return nil
	}
	var l []zap.Field
	for _, s := range i.Settings {
		switch s.Key {
		case "vcs.revision":
			l = append(l, zap.String("revision", s.Value))
		case "vcs.modified":
			l = append(l, zap.String("modified", s.Value))
		}
	}
	return l
}
