// Package mirror is the duty that keeps a copy of one kind of the platform's
// objects: it lists, watches, notices a watch that fell silent, and takes what
// peers have when the platform does not answer.
package mirror
