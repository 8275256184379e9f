package call

import "net/http"

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Statement -linecomment -output=statement_string.go

// Statement is what a server says of whether it has executed the request.
type Statement int

// The statements.
const (
	// NotStated means that the server says nothing of it.
	NotStated Statement = iota // notStated
	// NotExecuted means that it has not executed the request.
	NotExecuted // notExecuted
	// Contradictory means that the server says both, or something that can't be understood.
	Contradictory // contradictory
)

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// ResponseHead is what the status line and the header of a response say about the request.
type ResponseHead struct {
	Origin Origin
	Status int
	// Statement is what the server says of whether it has executed the request.
	Statement Statement
	// Sealed is whether the server has signed the response as that of an execution.
	Sealed bool
	// Encoded is whether the body is in an encoding that nobody asked for.
	Encoded bool
}

// Class returns what the response proves. A response proves something only if it has the request's id, and
// no other. A result is accepted only if it is signed and not encoded; a statement that the request has not
// run, only if nothing else in the response says that it may have. A message with a status outside of those of final
// responses proves nothing.
func (h ResponseHead) Class() ResponseClass {
	success := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	misdirected := h.Status == http.StatusMisdirectedRequest
	stated := h.Statement != NotStated || misdirected
	switch {
	case h.Origin == Other:
		return Foreign
	case h.Status < http.StatusOK, h.Status > maxStatus:
		return Unknown
	case h.Origin != Own, h.Statement == Contradictory, stated && (h.Sealed || !refuses(h.Status)):
		return Unknown
	case misdirected:
		return Misdirected
	case stated:
		return NotRun
	case !h.Sealed || h.Encoded:
		return Unknown
	case success:
		return Succeeded
	case PromisesNotRun(h.Status):
		return FailedAsRefused
	default:
		return Failed
	}
}

// refuses reports whether servers reject requests with the status before they execute them. With
// others they say what became of the execution.
func refuses(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// PromisesNotRun reports whether callers take the status for the promise that the request has not run
// and never will. The load that it answers are callers that send requests again which must run once.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
