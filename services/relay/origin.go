package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	lineages "github.com/crocusline/crocusline/services/lineage"
)

// unreadRetryAfter is about the time after which the store can be read again, as most of its outages are
// short.
const unreadRetryAfter = 500 * time.Millisecond

// findOrigin finds where the stream began that the request continues. It returns a refusal if that is
// unknown, or if no server can continue it.
func (j *job) findOrigin(ctx context.Context) error {
	if !j.request.ContinuesStream() || !j.route.Kind.Streams() {
		return nil
	}
	if j.request.Resumes == "" {
		return j.unknownOrigin(errors.New("the request names no request that began the stream"))
	}
	origin, err := j.service.lineage.Find(ctx, lineage.NewID(j.workspace.Name, j.request.Resumes))
	if err != nil {
		return j.unknownOrigin(err)
	}
	if origin.Pool != j.pool.Name {
		if !slices.ContainsFunc(j.route.Pools, func(p route.WeightedPool) bool { return p.Pool == origin.Pool && p.Weight > 0 }) {
			return refusal.New(refusal.VersionGone, 0, "the stream began in pool "+origin.Pool+", to which the route no longer leads")
		}
		j.usePool(j.table.Pools[origin.Pool])
	}
	j.origin = origin
	serves := false
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) { serves = b.Serves(origin.Version) })
	if !serves {
		// The version isn't gone if the evacuation may be withdrawn.
		if err := j.evacuationRefusal(); err != nil {
			return err
		}
		return refusal.New(refusal.VersionGone, 0, "no backend server has version "+origin.Version+", which began the stream")
	}
	return nil
}

// unknownOrigin returns the refusal of a request that continues a stream of unknown origin. Another try
// helps only if the store could not be read.
func (j *job) unknownOrigin(err error) error {
	var unknown *lineages.UnknownError
	var retryAfter time.Duration
	if errors.As(err, &unknown) && unknown.Unread {
		retryAfter = unreadRetryAfter
	}
	j.log.Info("origin of stream unknown", "resumes", j.request.Resumes, "lastEvent", j.request.LastEventID, "error", err)
	return refusal.New(refusal.OriginUnknown, retryAfter, "the software version that began the stream is unknown")
}

// checkOrigin is called before the first event of a response is passed on. It records where a stream
// begins, and returns an error if the server that continues one isn't known to have the version that it
// is listed with.
func (j *job) checkOrigin(ctx context.Context, prompt *promptTracker) error {
	if prompt.originChecked || j.route.Kind != route.ResumableStream {
		return nil
	}
	prompt.originChecked = true
	evidence, err := j.confirmServer(ctx, prompt)
	if j.origin.Known() {
		j.log.Info("stream continues", "server", j.server, "version", j.version, "began", j.origin.Version, "evidence", evidence,
			"connectionAge", time.Since(prompt.openedAt).Round(time.Millisecond), "lastEvent", j.lastEvent(), "error", err)
		return err
	}
	if err != nil {
		j.log.Info("origin of stream not confirmed", "server", j.server, "version", j.version, "error", err)
		return nil
	}
	j.origin = lineage.Origin{Pool: j.pool.Name, Version: j.version}
	if j.origin.Known() {
		j.service.lineage.Begin(ctx, lineage.NewID(j.workspace.Name, j.request.ID), j.origin, lifetimeRatio*j.route.Timeout)
	}
	return nil
}

// confirmServer returns what shows that the server that responds is the start of it that is listed, or an
// error. The server is asked if nothing shows that yet.
func (j *job) confirmServer(ctx context.Context, prompt *promptTracker) (roster.Evidence, error) {
	catalog := j.service.catalog
	if evidence := catalog.Confirmed(prompt.server, prompt.openedAt); evidence != roster.NoEvidence {
		return evidence, nil
	}
	if err := j.askStart(ctx, prompt, prompt.openedAt); err != nil {
		return roster.NoEvidence, err
	}
	return roster.ReportEvidence, nil
}

// askStart returns an error if the server, asked after the given time, isn't the start of it that is
// listed. An evacuated server isn't asked, as that is a request like any other.
func (j *job) askStart(ctx context.Context, prompt *promptTracker, after time.Time) error {
	evacuated := false
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) { evacuated = b.Evacuated(prompt.server.ID) })
	if evacuated {
		return errors.Errorf("server %s is evacuated", prompt.server.ID)
	}
	call, err := j.service.starts.ask(ctx, prompt.server, after, func(ctx context.Context) (int64, error) {
		j.service.metrics.Counter(serverStartsAsked).Inc()
		return j.service.reports.Started(ctx, prompt.server, j.maxConns())
	})
	if err != nil {
		return err
	}
	if !j.service.catalog.RecordStart(prompt.server, call.askedAt, call.started) {
		return errors.Errorf("server %s started at %d, and is listed with %d", prompt.server.ID, call.started, prompt.server.Started)
	}
	return nil
}

// endConfirmed reports whether the server, which has ended the stream in order but without framing,
// confirms that it is complete. A process that crashes ends its streams in the same way, so that the server
// must still run.
func (j *job) endConfirmed(ctx context.Context, prompt *promptTracker, last string) bool {
	endedAt := time.Now()
	if !j.ConfirmsEnd(last) {
		return false
	}
	err := j.askStart(ctx, prompt, endedAt)
	if err != nil {
		j.log.Info("end of stream not confirmed", "server", j.server, "lastEvent", last, "error", err)
	}
	return err == nil
}

// serverStartsAsked counts the calls that ask servers when they started.
const serverStartsAsked = "crocusline_server_starts_asked_total"

// lifetimeRatio is the time for which callers may resume a stream, as a multiple of the timeout of a
// request: the stream breaks off within one, and is resumed within another.
const lifetimeRatio = 2
