package exchange

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// ValidStatus reports whether a final response to a request can have the status. No request asks for another protocol,
// which status 101 would announce.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// interim reports whether the status is that of a response that another one follows.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// StatusError is returned for a message whose status can't be that of a response to the request.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is not that of a response", e.Status)
}
