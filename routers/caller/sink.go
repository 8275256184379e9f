package caller

import (
	"strings"

	"connectrpc.com/connect"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/memory"
)

// streamSink sends the tokens to the caller as they arrive.
type streamSink struct {
	stream *connect.ServerStream[callerv1.SubmitResponse]
}

func (s *streamSink) Accepted(requestID, server string, firstToken int64) error {
	accepted := &callerv1.Accepted{RequestId: requestID, Server: server, FirstToken: firstToken}
	return s.stream.Send(&callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Accepted{Accepted: accepted}})
}

func (s *streamSink) Tokens(first int64, tokens []string) error {
	chunk := &callerv1.Tokens{First: first, Text: tokens}
	return s.stream.Send(&callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Tokens{Tokens: chunk}})
}

// textSink collects the tokens into one text.
type textSink struct {
	tokens []string
	// response is the memory of the response, nil without a limit.
	response *memory.Response
}

const (
	// tokenBytes is what a token takes beside its text.
	tokenBytes = 16
	// textCopies is how often the whole text is held: joined, and in the encoded message, whose buffer may be twice as large.
	textCopies = 3
)

func (s *textSink) Accepted(string, string, int64) error {
	return nil
}

func (s *textSink) Tokens(_ int64, tokens []string) error {
	size := tokenBytes * len(tokens)
	for _, token := range tokens {
		size += textCopies * len(token)
	}
	if !s.response.Grow(size) {
		return &memory.ResponseError{Bytes: size}
	}
	s.tokens = append(s.tokens, tokens...)
	return nil
}

func (s *textSink) text() string {
	return strings.Join(s.tokens, "")
}

// acceptNotifier calls onAccept when the request is first accepted by a server, rather
// than at the end of the response, which may come much later.
type acceptNotifier struct {
	dispatch.Sink
	onAccept func()
	notified bool
}

func (s *acceptNotifier) Accepted(requestID, server string, firstToken int64) error {
	if !s.notified {
		s.notified = true
		s.onAccept()
	}
	return s.Sink.Accepted(requestID, server, firstToken)
}
