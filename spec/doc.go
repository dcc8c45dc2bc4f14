// Package spec is the specification of the core protocol (lease, fence, claim,
// one generation, move, allocation, lives of servers): it explores every run of the real decision code in small
// worlds with lost, late and doubled messages, crashes and pauses.
package spec
