// Package admit decides whether one more generation fits into an engine's
// memory and batch, knowing only how long answers tend to get.
package admit
