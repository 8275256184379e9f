package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
)

// Request is the body of /v1/completions.
type Request struct {
	// RequestID is the caller's name for the request.
	RequestID string `json:"request_id,omitempty"`
	Model     string `json:"model,omitempty"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the whole answer, with what was generated before.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Priority 0 is the most urgent.
	Priority int `json:"priority"`
	// ResumeFrom skips that many tokens of the answer.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Generated are the tokens that another engine generated before. The
	// answer goes on after them.
	Generated     []string      `json:"generated,omitempty"`
	StreamOptions StreamOptions `json:"stream_options,omitzero"`
}

// StreamOptions are options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Response is a whole answer, or one event of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice carries generated text.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a request. CompletionTokens is the length of the
// whole answer, with what was generated before.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// decodeRequest decodes and checks the body of /v1/completions. It ignores
// fields that it does not know, as engines do.
func decodeRequest(data []byte) (Request, error) {
	req := Request{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(data, &req); err != nil {
		return req, errors.Wrap(err, "decode JSON")
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxMaxTokens {
		return req, errors.Errorf("max_tokens is %d: use 1 to %d", req.MaxTokens, maxMaxTokens)
	}
	length := completionLength(req.Prompt, req.MaxTokens)
	if req.ResumeFrom < 0 || max(req.ResumeFrom, len(req.Generated)) > length {
		return req, errors.Errorf("the answer has %d tokens and cannot go on after more", length)
	}
	if req.ResumeFrom > 0 && len(req.Generated) > 0 {
		return req, errors.New("use resume_from or generated, not both")
	}
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	return req, nil
}

// generated returns the tokens that the answer begins with.
func (r *Request) generated() []string {
	if r.ResumeFrom == 0 {
		return r.Generated
	}
	return Completion(r.Prompt, r.MaxTokens)[:r.ResumeFrom]
}

// errInjectedBreak says that the connection is to be broken on command.
var errInjectedBreak = errors.New("connection broken on command")

// completionWriter writes an answer.
type completionWriter struct {
	w          http.ResponseWriter
	req        Request
	stream     *stream
	breakAfter int
	sent       int
	text       strings.Builder
}

// writeHeader sends the head of a streamed answer.
func (s *completionWriter) writeHeader() {
	if !s.req.Stream {
		return
	}
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// writeTokens sends tokens, one event each.
func (s *completionWriter) writeTokens(tokens []string) error {
	for _, token := range tokens {
		if s.sent == s.breakAfter {
			return s.abort()
		}
		s.sent++
		s.text.WriteString(token)
		if err := s.writeEvent(s.response(token, finishNone)); err != nil {
			return err
		}
	}
	if s.sent == s.breakAfter {
		return s.abort()
	}
	return s.flush()
}

// abort sends what is buffered, so that the break comes after whole events.
func (s *completionWriter) abort() error {
	if err := s.flush(); err != nil {
		return err
	}
	return errInjectedBreak
}

// finish ends the answer.
func (s *completionWriter) finish(reason finishReason) error {
	if !s.req.Stream {
		resp := s.response(s.text.String(), reason)
		resp.Usage = s.usage()
		control.WriteJSON(s.w, http.StatusOK, resp)
		return nil
	}
	last := s.response("", reason)
	if s.req.StreamOptions.IncludeUsage {
		last.Usage = s.usage()
	}
	if err := s.writeEvent(last); err != nil {
		return err
	}
	if _, err := fmt.Fprint(s.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return s.flush()
}

func (s *completionWriter) response(text string, reason finishReason) Response {
	choice := Choice{Text: text}
	if reason != finishNone {
		name := string(reason)
		choice.FinishReason = &name
	}
	return Response{ID: s.req.RequestID, Object: "text_completion", Choices: []Choice{choice}}
}

func (s *completionWriter) usage() *Usage {
	prompt, completion := s.stream.promptTokens, s.stream.startToken+s.sent
	return &Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func (s *completionWriter) writeEvent(resp Response) error {
	if !s.req.Stream {
		return nil
	}
	data, err := json.Marshal(resp)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = fmt.Fprintf(s.w, "data: %s\n\n", data)
	return err
}

func (s *completionWriter) flush() error {
	if !s.req.Stream {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}
