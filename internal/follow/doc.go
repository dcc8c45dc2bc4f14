// Package follow brings the platform's configuration into force. It watches the platform and
// fetches newer configurations from peers if the watch is late.
package follow
