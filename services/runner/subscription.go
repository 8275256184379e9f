package runner

import (
	"context"
	"io"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// Chunk is consecutive tokens of an answer.
type Chunk struct {
	First  int
	Tokens []string
}

// Subscription is one entry's stream of one answer. It reads the record of the run by
// position, so that a slow one holds up neither the run nor other relays.
type Subscription struct {
	runner       *Runner
	id           run.SubscriptionID
	answer       *answer
	next         int
	disconnected chan struct{}
	startedRun   bool
}

// maxChunkTokens bounds the tokens of one chunk.
const maxChunkTokens = 256

// StartedRun reports whether the relay's request started a run.
func (r *Subscription) StartedRun() bool {
	return r.startedRun
}

// Next waits for the next tokens and returns all that are ready. It returns
// io.EOF after the last one of a whole answer, or a *refusal.Error.
func (r *Subscription) Next(ctx context.Context) (Chunk, error) {
	for {
		tokens, ended, refused, changed := r.answer.tokensFrom(r.next)
		if len(tokens) > 0 {
			return r.nextChunk(tokens), nil
		}
		if ended && refused != nil {
			return Chunk{}, refused
		}
		if ended {
			return Chunk{}, io.EOF
		}
		select {
		case <-changed:
		case <-r.disconnected:
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

func (r *Subscription) nextChunk(tokens []string) Chunk {
	if len(tokens) > maxChunkTokens {
		tokens = tokens[:maxChunkTokens]
	}
	c := Chunk{First: r.next, Tokens: tokens}
	r.next += len(tokens)
	return c
}

// PrepareFinalFrame returns what the last frame says and fixes who pays. Call it after
// Next returned io.EOF, send the frame, and Close the relay with the result.
func (r *Subscription) PrepareFinalFrame(ctx context.Context) (run.FinalFrame, error) {
	reply := make(chan finalFrameReply, 1)
	if err := r.runner.send(ctx, finalFrameEvent{subscription: r.id, reply: reply}); err != nil {
		return run.FinalFrame{}, err
	}
	select {
	case got := <-reply:
		if !got.ok {
			return run.FinalFrame{}, fencedError()
		}
		return got.frame, nil
	case <-r.runner.done:
		return run.FinalFrame{}, shutdownError()
	}
}

// Close ends the relay. handed says that the last frame was sent: the bill is
// due from then on.
func (r *Subscription) Close(handed bool) {
	r.runner.mustSend(subscriptionClosedEvent{subscription: r.id, delivered: handed})
}
