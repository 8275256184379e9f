package call

import "net/http"

// ResponseHead is what the status line and the header of a response say about the request.
type ResponseHead struct {
	Origin Origin
	Status int
	// NotExecuted is whether the server states that it has not executed the request.
	NotExecuted bool
	// Sealed is whether the server has signed the response as that of an execution.
	Sealed bool
	// Encoded is whether the body is in an encoding that nobody asked for.
	Encoded bool
}

// Class returns what the response proves. A response proves something only if it has the request's id. A
// result is accepted only if it is signed and not encoded; a statement that the request has not run, only
// if nothing else in the response says that it has.
func (h ResponseHead) Class() ResponseClass {
	success := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	misdirected := h.Status == http.StatusMisdirectedRequest
	switch {
	case h.Origin == Other:
		return Foreign
	case h.Origin == Unnamed, (h.NotExecuted || misdirected) && (h.Sealed || success):
		return Unknown
	case misdirected:
		return Misdirected
	case h.NotExecuted:
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
