// Package hosted stands in for a hosting platform in tests and in the soak: its
// store, its backend servers and its callers, which record what they saw. A Wire
// translates between them and the platform's messages.
package hosted
