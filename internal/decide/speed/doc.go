// Package speed estimates the speeds of engines from the gaps between the events of streams
// and from the times that engines take to read (prefill) prompts. The holders of streams
// collect samples with a Recorder; the allocator of the engines evaluates them with a Table.
// The hosted gateway calls both.
package speed
