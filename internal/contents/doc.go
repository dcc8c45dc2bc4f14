// Package contents shares what is known of contents that end servers among the requests
// of a process.
package contents
