// Package contents shares the quarantine table among the requests of a process. The table
// identifies request contents, and parts of prompts, that crash the servers which run them.
package contents
