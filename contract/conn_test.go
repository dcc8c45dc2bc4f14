package contract

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send writes s to a connection.
func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// readAll reads up to 4096 bytes, until the connection closes or sends nothing for maxWait.
func readAll(t *testing.T, c net.Conn) string {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 4096)
	n, err := io.ReadAtLeast(c, b, len(b))
	if n == 0 && err != io.EOF && err != io.ErrUnexpectedEOF {
		return err.Error()
	}
	return string(b[:n])
}

// copyBody forwards the body of an answer.
func copyBody(w http.ResponseWriter, a *http.Response) (int64, error) {
	return io.Copy(w, a.Body)
}
