// Package bandwidth measures how much of its network link an entry VM uses, and decides which callers it takes
// so that the link carries them.
package bandwidth
