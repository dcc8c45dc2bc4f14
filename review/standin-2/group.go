package main

import "sync"

// background has the goroutines of the process. Those of servers run until it ends, so that nobody waits for all.
var background sync.WaitGroup
