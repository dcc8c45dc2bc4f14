// Package poll reads the engines' load reports.
package poll
