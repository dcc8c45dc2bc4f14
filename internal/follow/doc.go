// Package follow brings the platform's configuration into force. It watches the platform and
// takes newer configurations from peers if the watch is late.
package follow
