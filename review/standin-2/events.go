package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readEvents reads a stream to its end, and says whether its events came in order and how it ended.
func readEvents(r io.Reader) string {
	b := bufio.NewReader(r)
	n, disorder := 0, 0
	for {
		l, err := b.ReadString('\n')
		if x, ok := strings.CutPrefix(l, "id: "); ok && err == nil {
			i, _ := strconv.Atoi(strings.TrimSpace(x))
			if i != n+1 {
				disorder++
			}
			n = i
		}
		if errors.Is(err, io.EOF) {
			return fmt.Sprintf("stream complete after event %d, %d out of order", n, disorder)
		}
		if err != nil {
			return fmt.Sprintf("stream cut after event %d, %d out of order: %v", n, disorder, err)
		}
	}
}
