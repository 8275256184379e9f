package runner

import (
	"context"
	"sync/atomic"

	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/services/server"
)

// Backend runs requests at the backend server.
type Backend interface {
	Run(ctx context.Context, req run.Request, sink server.Sink) (run.Result, error)
}

// job is one stay of a run at the backend server. A displaced run has a new job
// each time it is resumed.
type job struct {
	id     run.ID
	answer *answer
	cancel context.CancelFunc
	// droppedToken is set when a token came after the job was displaced.
	droppedToken atomic.Bool
	// reportedTokens is the number of tokens that the queue knows of.
	reportedTokens int
}

// Token implements server.Sink.
func (j *job) Token(text string) {
	if !j.answer.write(j, text) {
		j.droppedToken.Store(true)
	}
}

// start begins the job in a goroutine of its own.
func (r *Runner) startJob(id run.ID, req run.Request, a *answer) *job {
	ctx, cancel := context.WithCancel(r.ctx)
	j := &job{id: id, answer: a, cancel: cancel}
	req.Generated = a.setWriter(j)
	j.reportedTokens = len(req.Generated)
	r.jobs.Add(1)
	go func() {
		defer r.jobs.Done()
		defer cancel()
		result, err := r.backend.Run(ctx, req, j)
		r.mustSend(jobEndedEvent{job: j, result: result, err: err})
	}()
	return j
}
