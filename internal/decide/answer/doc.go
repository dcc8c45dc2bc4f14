// Package answer ensures that an answer delivers the tokens of a single generation, each
// once and in order, and decides what follows when the stream breaks.
package answer
