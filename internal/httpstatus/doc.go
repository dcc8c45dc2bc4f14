// Package httpstatus tells answers with a valid status from those that are no answers.
package httpstatus
