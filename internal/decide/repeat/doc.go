// Package repeat recognizes requests that have the ID of an earlier one.
package repeat
