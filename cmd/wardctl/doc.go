// Command wardctl is the operators' command line.
package main
