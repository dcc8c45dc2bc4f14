// Package bandwidth decides what an entry VM knows of the use of its network link, and what follows from it.
package bandwidth
