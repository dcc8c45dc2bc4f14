// Package directory resolves a request by the configuration: its route, its workspace
// and the service that answers it.
package directory
