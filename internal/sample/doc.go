// Package sample holds the resources of a small system to start with.
package sample
