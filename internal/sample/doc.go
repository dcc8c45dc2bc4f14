// Package sample holds the resources of a small example system.
package sample
