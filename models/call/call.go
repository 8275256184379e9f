// Package call defines a caller's request and the classes of responses to it,
// independently of the platform's headers.
package call

import (
	"net/http"
	"time"
)

// PrefixSegment is a segment of a prompt prefix, which several requests may have in
// common.
type PrefixSegment struct {
	ID     string
	Tokens int64
}

// Request is one request of a caller. A retry is another Request.
type Request struct {
	// ID is unique to the request; a caller that retries uses a new one.
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent by the caller.
	Target string
	// Path is the part of the target that is matched with routes.
	Path string
	// APIKey is the caller's secret. It is not forwarded.
	APIKey string
	// Timeout is how long the caller waits, or 0 if unspecified.
	Timeout time.Duration
	// Model is the name of the requested model. It is empty for calls to
	// plain services.
	Model string
	// PromptTokens is the size of the prompt, and OutputTokens the maximum size of the
	// output.
	PromptTokens int64
	OutputTokens int64
	// Prefix holds the segments of the prompt prefix in order.
	Prefix []PrefixSegment
	// LastEventID is the id of the last event that the caller has received. It is empty
	// if there is none.
	LastEventID string
	// Resumes is the id of the caller's request that brought the first event of the stream that this
	// one continues, or empty if unspecified.
	Resumes string
	// Header holds the header fields to forward.
	Header http.Header
	Body   []byte
	// ArrivedAt is when the header of the request was read.
	ArrivedAt time.Time
}

// ContinuesStream reports whether the caller has received events of the stream before.
func (r *Request) ContinuesStream() bool { return r.LastEventID != "" }

// MaxTotalTokens returns the maximum number of tokens that the request can cost.
func (r *Request) MaxTotalTokens() int64 { return r.PromptTokens + r.OutputTokens }

// DispatchParams are the parameters that are sent to a server with a request.
type DispatchParams struct {
	// Server is the id of the only server that may run the request.
	Server string
	// TimeLeft is the time after which the server may abort the request.
	TimeLeft time.Duration
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// Priority is the rank of the request in the server's queue. 0 is the most urgent.
	Priority int
	// LastEventID is the id of the last event that the caller has received. It is empty
	// if there is none.
	LastEventID string
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Origin -linecomment -output=origin_string.go

// Origin says whose answer a response is, by the request id that it carries.
type Origin int

// The origins.
const (
	// Own is the answer to this request.
	Own Origin = iota // own
	// Unnamed is a response without an id to a request that has one. It may be a copy of an
	// earlier response.
	Unnamed // unnamed
	// Other is the answer to another request.
	Other // other
	// Ambiguous is a response with the ids of several requests, such as one that was cut in its head
	// and followed by the next.
	Ambiguous // ambiguous
)

// OriginOf returns whose answer the response with the request ids is.
func (r *Request) OriginOf(ids ...string) Origin {
	origin := Unnamed
	if r.ID == "" {
		origin = Own
	}
	for i, id := range ids {
		switch {
		case i > 0 && id != ids[0]:
			return Ambiguous
		case id == r.ID:
			origin = Own
		case id != "":
			origin = Other
		}
	}
	return origin
}

// Skippable reports whether the response may be skipped, as the answer to this request can
// still follow on the connection. Only a connection that has carried other requests can bring a
// copy of an earlier response. The load that it answers are servers that write a response once
// more, late, on a connection that is in use again.
func (o Origin) Skippable(reused bool) bool { return o == Other || (o == Unnamed && reused) }

//go:generate go tool -modfile=../../tools/go.mod stringer -type=ResponseClass -linecomment -output=response_class_string.go

// ResponseClass classifies a response by what its status and header prove.
type ResponseClass int

// The response classes.
const (
	// Unknown means that the request may have run.
	Unknown ResponseClass = iota // unknown
	// NotRun means that the server has not run the request and never will.
	NotRun // notRun
	// Misdirected means the same, and that another server has the address.
	Misdirected // misdirected
	// Succeeded means that the server has handled the request successfully.
	Succeeded // succeeded
	// Failed means that the server itself responded with an error.
	Failed // failed
	// FailedAsRefused means the same, with a status that promises callers that the request has not run.
	// The server has not stated that.
	FailedAsRefused // failedAsRefused
	// Foreign means that this is the response to another request.
	Foreign // foreign
)
