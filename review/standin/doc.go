// Command standin runs the scripts of the review: it starts entry VMs as separate processes, plays the
// platform's store, the backend servers and the clients around them, and checks one rule.
package main
