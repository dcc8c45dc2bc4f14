// Package cmd holds the command lines of both programs, a file per command.
package cmd
