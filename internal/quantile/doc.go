// Package quantile records distributions of durations.
package quantile
