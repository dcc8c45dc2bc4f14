// Package admit decides whether one more generation fits into an engine's memory and
// batch. The length of an answer is not known in advance, only its distribution.
package admit
