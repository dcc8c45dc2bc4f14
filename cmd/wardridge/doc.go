// Command wardridge is the server process of an entry VM.
package main
