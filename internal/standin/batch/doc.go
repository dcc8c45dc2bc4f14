// Package batch models an engine that batches continuously in limited memory:
// prefill, decode steps, a prefix cache, priorities and preemption.
package batch
