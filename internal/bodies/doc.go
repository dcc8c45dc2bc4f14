// Package bodies bounds the memory that the bodies of requests and answers take on an entry VM.
package bodies
