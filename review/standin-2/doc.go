// Command standin2 plays the cases of the second review: it starts entry VMs as processes, and has
// stand-ins for the platform's store, the backend servers and the callers.
package main
