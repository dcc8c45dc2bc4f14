// Package explain keeps what was decided for each request, in bounded memory.
package explain
