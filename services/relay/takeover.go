package relay

import (
	"cmp"
	"context"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/takeover"
)

// WithTakeover sets what ends the work on a stream before another attempt continues it. Without it, the servers of both
// may work on it.
func WithTakeover(t *takeover.Service) Option { return func(s *Service) { s.takeover = t } }

// beginAttempt registers the attempt at a stream that callers may resume. The caller closes it.
func (j *job) beginAttempt(cancel context.CancelCauseFunc) {
	if j.service.takeover == nil || j.route.Kind != route.ResumableStream {
		return
	}
	began := cmp.Or(j.request.Resumes, j.request.ID)
	j.attempt = j.service.takeover.Begin(lineage.NewID(j.workspace.Name, began), cancel)
}

// endOthers ends the attempts at the stream that the request continues.
func (j *job) endOthers(ctx context.Context) {
	if j.attempt == nil || !j.request.ContinuesStream() || j.attempt.EndOthers(ctx, j.request.ArrivedAt) {
		return
	}
	// No process that recorded the stream has answered, so that others find this one by a record only.
	j.service.lineage.Begin(ctx, lineage.NewID(j.workspace.Name, j.request.Resumes), j.origin, lifetimeRatio*j.route.Timeout)
}
