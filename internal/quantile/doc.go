// Package quantile keeps distributions of times.
package quantile
