// Package gateway routes each request, chooses a backend server for it, sends it with retries
// and passes the answer on to its caller. It moves running streams off servers that leave.
package gateway
