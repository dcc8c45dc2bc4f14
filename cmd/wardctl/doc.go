// Command wardctl is the command line for operators.
package main
