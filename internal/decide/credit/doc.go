// Package credit hands out one engine's memory to entry VMs, in bounded
// credits that lapse.
package credit
