// Package failure maps the fault that ended a request to its log event and its
// counter.
package failure
