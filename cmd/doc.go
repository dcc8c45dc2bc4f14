// Package cmd implements the command lines of wardridge and wardctl, one file per command.
package cmd
