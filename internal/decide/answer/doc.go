// Package answer keeps an answer to one generation: every token once, in
// order, and a decision for each way in which the stream can break.
package answer
