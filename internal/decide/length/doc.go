// Package length learns how long answers get, online and in bounded memory,
// as survival curves per workspace and kind of request.
package length
