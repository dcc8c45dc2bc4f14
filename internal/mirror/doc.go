// Package mirror keeps a replica of one kind of the platform's objects up to date: it
// lists and watches the objects, detects a watch that has stopped sending events, and
// merges what peers have while the platform does not answer.
package mirror
