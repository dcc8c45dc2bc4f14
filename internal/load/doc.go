// Package load drives a system with the two users' mixes of work, open loop
// and seeded, checks every answer, and reports what callers saw.
package load
