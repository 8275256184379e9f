package runner

import (
	"context"
	"io"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// Chunk is a sequence of consecutive tokens of an answer.
type Chunk struct {
	// First is the position of the first token in the answer.
	First  int
	Tokens []string
}

// Subscription is the stream of one answer to one entry. It reads the retained
// answer by position, so that a slow reader delays neither the run nor other
// subscriptions.
type Subscription struct {
	runner *Runner
	id     run.SubscriptionID
	answer *answer
	next   int
	// disconnected is closed when the subscription is fenced.
	disconnected chan struct{}
	startedRun   bool
}

// maxChunkTokens is the maximum number of tokens in one chunk.
const maxChunkTokens = 256

// StartedRun reports whether the request started a run, rather than joining one.
func (s *Subscription) StartedRun() bool {
	return s.startedRun
}

// Next waits for the next tokens and returns those available, up to
// maxChunkTokens. At the end of a complete answer it returns io.EOF. If the answer
// failed or the subscription was fenced, it returns a *refusal.Error.
func (s *Subscription) Next(ctx context.Context) (Chunk, error) {
	for {
		tokens, ended, refused, changed := s.answer.tokensFrom(s.next)
		if len(tokens) > 0 {
			return s.nextChunk(tokens), nil
		}
		if ended && refused != nil {
			return Chunk{}, refused
		}
		if ended {
			return Chunk{}, io.EOF
		}
		select {
		case <-changed:
		case <-s.disconnected:
			return Chunk{}, fencedError()
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

func fencedError() error {
	return &refusal.Error{
		Reason:  refusal.Fenced,
		Outcome: refusal.Unknown,
		Advice:  "The entry's incarnation was fenced while the answer was being sent.",
	}
}

func (s *Subscription) nextChunk(tokens []string) Chunk {
	if len(tokens) > maxChunkTokens {
		tokens = tokens[:maxChunkTokens]
	}
	c := Chunk{First: s.next, Tokens: tokens}
	s.next += len(tokens)
	return c
}

// PrepareFinalFrame returns the final frame and determines the payer. Call it after
// Next returned io.EOF, send the frame, and call Close with the result.
func (s *Subscription) PrepareFinalFrame(ctx context.Context) (run.FinalFrame, error) {
	reply := make(chan finalFrameReply, 1)
	if err := s.runner.send(ctx, finalFrameEvent{subscription: s.id, reply: reply}); err != nil {
		return run.FinalFrame{}, err
	}
	select {
	case got := <-reply:
		if !got.ok {
			return run.FinalFrame{}, fencedError()
		}
		return got.frame, nil
	case <-s.runner.done:
		return run.FinalFrame{}, shutdownError()
	}
}

// Close ends the subscription. delivered reports whether the final frame was sent,
// which makes the bill due.
func (s *Subscription) Close(delivered bool) {
	s.runner.mustSend(subscriptionClosedEvent{subscription: s.id, delivered: delivered})
}
