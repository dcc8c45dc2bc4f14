// Package retry bounds retries and other repeated sends by a share of the requests that are new.
package retry
