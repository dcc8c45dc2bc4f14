// Package length learns the distribution of answer lengths as one survival curve for
// each workspace and kind of request. It learns online and in bounded memory.
package length
