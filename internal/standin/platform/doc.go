// Package platform stands in for the platform's object API: versions,
// conditional updates, watches, rate limits and injected faults.
package platform
