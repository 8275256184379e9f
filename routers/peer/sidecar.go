// Package peer serves the protocol between crocusline's own processes.
package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/modules/wire"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/refusalwire"
	"github.com/crocusline/crocusline/services/runner"
)

// TableVersionSource tells which version of the tables is in force here.
type TableVersionSource interface {
	TableVersion() int64
}

// SidecarHandler serves the sidecar of a backend server to the entries.
type SidecarHandler struct {
	runner *runner.Runner
	tables TableVersionSource
}

var _ peerv1connect.SidecarServiceHandler = (*SidecarHandler)(nil)

// NewSidecarHandler returns the handler of a runner. tables may be nil.
func NewSidecarHandler(r *runner.Runner, tables TableVersionSource) *SidecarHandler {
	return &SidecarHandler{runner: r, tables: tables}
}

// HTTPHandler returns the path and the handler of the service.
func (s *SidecarHandler) HTTPHandler() (string, http.Handler) {
	return peerv1connect.NewSidecarServiceHandler(s, wire.Compression())
}

// Run implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	r, err := decodeRun(time.Now(), req.Msg)
	if err != nil {
		return refusalwire.Encode(err)
	}
	if s.isGone(r.Hold.Holder) {
		return refusalwire.Encode(refusal.New(refusal.Fenced, 0, "The entry's incarnation has ended."))
	}
	r.Share = s.shareOf(r.Kind)
	relay, err := s.runner.Submit(ctx, r)
	if err != nil {
		return refusalwire.Encode(err)
	}
	handed, err := s.relay(ctx, r.ID, relay, stream)
	relay.Close(handed)
	return refusalwire.Encode(err)
}

// isGone says whether the fleet's state, if it is known, says that an entry's
// incarnation has ended. A sidecar that came later is not asked to fence it.
func (s *SidecarHandler) isGone(entry string) bool {
	holder, ok := s.tables.(StateSource)
	return ok && holder.State().HasEnded(entry)
}

// shareOf is the part of the queue that the tables in force give to a kind of
// work, or 0 without tables.
func (s *SidecarHandler) shareOf(kind string) float64 {
	if holder, ok := s.tables.(StateSource); ok {
		return holder.State().Tables.Routes[kind].QueueShare()
	}
	return 0
}

// relay sends an answer and says whether the last frame was sent.
func (s *SidecarHandler) relay(ctx context.Context, id string, relay *runner.Subscription, stream *connect.ServerStream[peerv1.RunResponse]) (bool, error) {
	started := &peerv1.Started{RequestId: id, Incarnation: s.runner.Incarnation(), Load: s.load()}
	if err := stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Started{Started: started}}); err != nil {
		return false, err
	}
	for {
		chunk, err := relay.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, err
		}
		msg := &peerv1.Chunk{First: int64(chunk.First), Tokens: chunk.Tokens}
		if err := stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Chunk{Chunk: msg}}); err != nil {
			return false, err
		}
	}
	h, err := relay.PrepareFinalFrame(ctx)
	if err != nil {
		return false, err
	}
	finished := s.finished(h)
	err = stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Finished{Finished: finished}})
	return err == nil, err
}

func (s *SidecarHandler) finished(h run.FinalFrame) *peerv1.Finished {
	return &peerv1.Finished{
		Usage: &commonv1.Usage{
			PromptTokens: h.PromptTokens,
			OutputTokens: h.OutputTokens,
			BilledTokens: h.BilledTokens,
		},
		Body:   h.Body,
		Tokens: h.OutputTokens,
		Hold: &peerv1.Hold{
			Holder:   h.Hold.Holder,
			Sequence: h.Hold.Sequence,
			Tokens:   h.Hold.Tokens,
			Shard:    int32(h.Hold.Shard),
		},
		Load:      s.load(),
		Replayed:  h.Replayed,
		RequestId: h.RequestID,
	}
}

// Acknowledge implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Acknowledge(ctx context.Context, req *connect.Request[peerv1.AcknowledgeRequest]) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	got, err := s.runner.Acknowledge(ctx, req.Msg.GetRequestId())
	if err != nil {
		return nil, refusalwire.Encode(err)
	}
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Billed: got.Billed, Known: got.Known}), nil
}

// Inquire implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Inquire(ctx context.Context, req *connect.Request[peerv1.InquireRequest]) (*connect.Response[peerv1.InquireResponse], error) {
	name := run.RequestRef{
		Workspace: req.Msg.GetWorkspace(),
		Key:       req.Msg.GetIdempotencyKey(),
		RequestID: req.Msg.GetRequestId(),
		Attempt:   req.Msg.GetAttempt(),
	}
	state, err := s.runner.Inquire(ctx, name, req.Msg.GetFence())
	if err != nil {
		return nil, refusalwire.Encode(err)
	}
	if state == run.Queued {
		state = run.Running
	}
	return connect.NewResponse(&peerv1.InquireResponse{
		State:       state.String(),
		Incarnation: s.runner.Incarnation(),
	}), nil
}

// Fence implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Fence(ctx context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	if req.Msg.GetEntry() == "" {
		return nil, refusalwire.Encode(refusal.New(refusal.InvalidRequest, 0, "Name the entry incarnation to fence."))
	}
	settled, err := s.runner.FenceEntry(ctx, req.Msg.GetEntry())
	if err != nil {
		return nil, refusalwire.Encode(err)
	}
	return connect.NewResponse(&peerv1.FenceResponse{
		Settled:     settled,
		Incarnation: s.runner.Incarnation(),
	}), nil
}

// Probe implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Probe(context.Context, *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	resp := &peerv1.ProbeResponse{
		Server:      s.runner.Server(),
		Incarnation: s.runner.Incarnation(),
		Load:        s.load(),
	}
	if s.tables != nil {
		resp.TableVersion = s.tables.TableVersion()
	}
	return connect.NewResponse(resp), nil
}

func (s *SidecarHandler) load() *commonv1.Load {
	return LoadMessage(s.runner.Load())
}

// LoadMessage returns the wire form of a backend server's load.
func LoadMessage(l queue.Load) *commonv1.Load {
	msg := &commonv1.Load{Running: int32(l.Running), Slots: int32(l.Slots), Draining: l.Draining}
	for r := range rank.Count {
		msg.Queued = append(msg.Queued, int32(l.Queued[r]))
		msg.Ahead = append(msg.Ahead, int32(l.Ahead[r]))
		msg.Wait = append(msg.Wait, durationpb.New(l.Wait[r]))
	}
	return msg
}

// decodeRun checks a request and returns it in the sidecar's terms.
func decodeRun(now time.Time, m *peerv1.RunRequest) (run.Request, error) {
	if m.GetRank() < 0 || int(m.GetRank()) >= rank.Count {
		return run.Request{}, refusal.New(refusal.InvalidRequest, 0, "The rank does not exist.")
	}
	if m.GetFromToken() < 0 || m.GetMaxTokens() < 0 || m.GetPrice() < 0 || m.GetHold().GetTokens() < 0 {
		return run.Request{}, refusal.New(refusal.InvalidRequest, 0, "A count is negative.")
	}
	req := run.Request{
		ID:         m.GetRequestId(),
		Workspace:  m.GetWorkspace(),
		Kind:       m.GetKind(),
		Key:        m.GetIdempotencyKey(),
		Idempotent: m.GetIdempotent(),
		Rank:       rank.Rank(m.GetRank()),
		Hold: ledger.Hold{
			Holder:   m.GetHold().GetHolder(),
			Shard:    int(m.GetHold().GetShard()),
			Sequence: m.GetHold().GetSequence(),
			Tokens:   m.GetHold().GetTokens(),
		},
		Prompt:      m.GetPrompt(),
		Body:        m.GetBody(),
		MaxTokens:   int(m.GetMaxTokens()),
		Price:       m.GetPrice(),
		Weight:      int(m.GetWeight()),
		FromToken:   int(m.GetFromToken()),
		Generated:   m.GetGenerated(),
		Incarnation: m.GetIncarnation(),
		Attempt:     m.GetAttempt(),
		Digest:      m.GetDigest(),
		JoinOnly:    m.GetJoinOnly(),
	}
	if m.GetTimeout() != nil {
		req.Deadline = now.Add(m.GetTimeout().AsDuration())
	}
	return req, nil
}
