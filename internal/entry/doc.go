// Package entry is the callers' side: chat completions, resumed streams and
// plain services.
package entry
