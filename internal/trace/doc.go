// Package trace sets up spans and where they go.
package trace
