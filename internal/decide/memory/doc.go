// Package memory decides how much of an entry VM's memory the bodies of requests and answers may
// take that it holds for callers and backend servers.
package memory
