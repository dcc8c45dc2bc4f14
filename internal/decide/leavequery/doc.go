// Package leavequery decides which engines an entry VM queries, and when, to learn whether they are
// leaving while the platform is silent.
//
// One entry VM of each failure domain queries the engines there for all others, so that an engine is
// not queried by every entry VM whose streams it runs. An entry VM that hears of no such entry VM
// queries the engines of its own streams.
package leavequery
