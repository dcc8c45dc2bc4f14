// Package platform is a stand-in for the platform's object API, with versions,
// conditional updates, watches, rate limits and injected faults.
package platform
