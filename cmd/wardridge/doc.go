// Command wardridge is the process on each entry VM.
package main
