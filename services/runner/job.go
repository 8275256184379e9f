package runner

import (
	"context"
	"sync/atomic"

	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/services/server"
)

// Backend runs requests at the backend server.
type Backend interface {
	Run(ctx context.Context, req run.Request, sink server.TokenSink) (run.Result, error)
}

// job is one execution of a run at the backend server. A preempted run gets a new
// job each time it is resumed.
type job struct {
	id     run.ID
	answer *answer
	cancel context.CancelFunc
	// droppedToken is set when a token arrived after the job was preempted.
	droppedToken atomic.Bool
	// reportedTokens is the number of tokens reported to the queue.
	reportedTokens int
}

// WriteToken implements server.TokenSink.
func (j *job) WriteToken(text string) {
	if !j.answer.write(j, text) {
		j.droppedToken.Store(true)
	}
}

// startJob starts a job in a new goroutine.
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
