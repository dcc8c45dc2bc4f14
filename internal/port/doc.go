// Package port defines the interfaces between the serving system and the adapters that
// implement a wire protocol: requests, answers, signals and the operations that an adapter
// offers.
package port
