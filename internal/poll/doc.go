// Package poll polls engines for their load reports.
package poll
