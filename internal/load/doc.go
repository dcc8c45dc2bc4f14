// Package load is an open-loop load generator. It sends seeded mixes of two example
// users' requests, checks every answer, and reports what callers saw.
package load
