// Package batch models an engine with continuous batching in limited KV memory:
// prefill, decode steps, a prefix cache, priorities and preemption.
package batch
