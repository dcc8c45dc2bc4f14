// Package role divides the engines of one service in one failure domain into those that
// prefill prompts and those that only decode, where prefill beside a stream breaks the gap
// target of the stream on some of the engines but not on all.
package role
