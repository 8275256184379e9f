package caller

import (
	"strings"

	"connectrpc.com/connect"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/services/dispatch"
)

// streamSink sends an answer as it arrives.
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

// textSink collects an answer.
type textSink struct {
	tokens []string
}

func (s *textSink) Accepted(string, string, int64) error {
	return nil
}

func (s *textSink) Tokens(_ int64, tokens []string) error {
	s.tokens = append(s.tokens, tokens...)
	return nil
}

func (s *textSink) text() string {
	return strings.Join(s.tokens, "")
}

// reportingSink reports when a server has the request for the first time, long
// before its answer ends.
type reportingSink struct {
	dispatch.Sink
	report   func()
	reported bool
}

func (s *reportingSink) Accepted(requestID, server string, firstToken int64) error {
	if !s.reported {
		s.reported = true
		s.report()
	}
	return s.Sink.Accepted(requestID, server, firstToken)
}
