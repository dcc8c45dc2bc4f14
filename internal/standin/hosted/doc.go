// Package hosted simulates a hosting platform for tests and the soak test: its
// store, its backend servers and its callers. They record what they observe. A Wire
// translates between them and the platform's wire format.
package hosted
