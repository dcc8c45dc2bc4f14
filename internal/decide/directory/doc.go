// Package directory says what a configuration means for one request: its
// route, its workspace and the service that answers it.
package directory
