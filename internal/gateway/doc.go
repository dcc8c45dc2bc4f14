// Package gateway takes requests of any wire through route, key, placement and
// attempts to their one answer, and moves streams off servers that leave.
package gateway
