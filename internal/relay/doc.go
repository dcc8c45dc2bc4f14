// Package relay connects an entry VM to backend servers through its peers, and relays the connections
// of peers, while a network partition separates some entry VMs from the servers. A relayed connection
// carries the bytes of a direct one: requests, retries and streams stay with the entry VM that dials.
package relay
