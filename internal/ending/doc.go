// Package ending says how a request that was not answered whole is logged and
// counted.
package ending
