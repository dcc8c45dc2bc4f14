// Package retry bounds repeated work by a share of fresh work.
package retry
