// Package call holds a caller's request and what became of it, in the words of
// the project.
package call

import (
	"net/http"
	"time"
)

// PrefixSegment is a piece of a prompt that requests may share.
type PrefixSegment struct {
	ID     string
	Tokens int64
}

// Request is one attempt of a caller.
type Request struct {
	// ID is the attempt's own id; a caller that tries again uses a new one.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Path is the part of the target that routes go by.
	Path string
	// APIKey is the caller's secret. It is not passed on.
	APIKey string
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// Model is the model that is to answer; empty for plain calls.
	Model string
	// PromptTokens and OutputTokens are the size of the prompt and the most that
	// is to be generated.
	PromptTokens int64
	OutputTokens int64
	// Prefix lists the prompt's parts in order.
	Prefix []PrefixSegment
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
	// Header are the fields to pass on.
	Header http.Header
	Body   []byte
	// ArrivedAt is when the request's head was read.
	ArrivedAt time.Time
}

// MaxTotalTokens is the most that the request can cost.
func (r *Request) MaxTotalTokens() int64 { return r.PromptTokens + r.OutputTokens }

// DispatchParams is what a server is told beside the request itself.
type DispatchParams struct {
	// Server is the id of the only server that may run the request.
	Server string
	// TimeLeft is the time after which the server may stop.
	TimeLeft time.Duration
	// Workspace is the caller's workspace, or empty.
	Workspace string
	// Priority is the request's rank at the server; 0 is the most urgent.
	Priority int
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=ResponseClass -linecomment -output=response_class_string.go

// ResponseClass says what an answer's head proves.
type ResponseClass int

// The response classes.
const (
	// Unknown proves nothing: the request may have run.
	Unknown ResponseClass = iota // unknown
	// NotRun proves that the server has not run the request and never will.
	NotRun // notRun
	// Misdirected proves the same, and that the address belongs to another server.
	Misdirected // misdirected
	// Succeeded is the head of the server's own success.
	Succeeded // succeeded
	// Failed is the head of a failure that the server itself made.
	Failed // failed
	// Foreign is an answer to another request.
	Foreign // foreign
)
