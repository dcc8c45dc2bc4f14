// Package throttle keeps the rate limits that backend servers announce and spaces the requests
// sent to them. A limit applies to all entry VMs together.
package throttle
