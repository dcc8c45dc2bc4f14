// Package limit limits the request rate and the concurrent requests of each workspace.
// A quota applies to all entry VMs together, and each enforces an equal share of it.
package limit
