// Package dispatch decides on which engine each request runs, which requests wait and
// which are refused. It knows the declared engines, their load reports, which arrive
// late, and the requests that this entry VM has sent to them.
package dispatch
