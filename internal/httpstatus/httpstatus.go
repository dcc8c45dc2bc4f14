package httpstatus

import (
	"net/http"
	"strconv"

	"github.com/wardridge/wardridge/internal/fault"
)

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// IsFinal reports whether a status is that of a final answer.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// IsSuccess reports whether a status means that a call was carried out.
func IsSuccess(status int) bool {
	return status/100 == http.StatusOK/100
}

// Check fails with BadAnswer if a status is not that of a final answer. The HTTP library parses any three
// characters that are a number.
func Check(status int) error {
	if IsFinal(status) {
		return nil
	}
	return fault.New(fault.BadAnswer, "answer has the status "+strconv.Itoa(status)+", which is not that of a final answer")
}
