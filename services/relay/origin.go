package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	lineages "github.com/crocusline/crocusline/services/lineage"
)

// unreadRetryAfter is about the time after which the store can be read again, as most of its outages are short.
const unreadRetryAfter = 500 * time.Millisecond

// findOrigin finds where the stream began that the request continues. It returns a refusal if that is unknown, or if no server
// can continue it.
func (j *job) findOrigin(ctx context.Context) error {
	if !j.request.ContinuesStream() || !j.route.Kind.Streams() {
		return nil
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
		return refusal.New(refusal.VersionGone, 0, "no backend server has version "+origin.Version+", which began the stream")
	}
	return nil
}

// unknownOrigin returns the refusal of a request that continues a stream of unknown origin. Another try helps only if the store could not be read.
func (j *job) unknownOrigin(err error) error {
	var unknown *lineages.UnknownError
	var retryAfter time.Duration
	if errors.As(err, &unknown) && unknown.Unread {
		retryAfter = unreadRetryAfter
	}
	j.log.Info("origin of stream unknown", "resumes", j.request.Resumes, "lastEvent", j.request.LastEventID, "error", err)
	return refusal.New(refusal.OriginUnknown, retryAfter, "the software version that began the stream is unknown")
}

// recordOrigin records where the stream begins, before its first event is passed on.
func (j *job) recordOrigin(ctx context.Context) {
	if j.Begun || j.request.ContinuesStream() || j.route.Kind != route.ResumableStream {
		return
	}
	j.origin = lineage.Origin{Pool: j.pool.Name, Version: j.version}
	if j.origin.Known() {
		j.service.lineage.Begin(ctx, lineage.NewID(j.workspace.Name, j.request.ID), j.origin, lifetimeRatio*j.route.Timeout)
	}
}

// lifetimeRatio is the time for which callers may take up a stream, as a multiple of the timeout of a request: the stream breaks off
// within one, and is taken up within another.
const lifetimeRatio = 2
