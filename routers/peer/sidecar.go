// Package peer implements the services that entries and sidecars provide to each other.
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

// TableVersionSource provides the version of the current tables.
type TableVersionSource interface {
	TableVersion() int64
}

// SidecarHandler implements peer.v1.SidecarService, through which entries use a sidecar.
type SidecarHandler struct {
	runner *runner.Runner
	tables TableVersionSource
}

var _ peerv1connect.SidecarServiceHandler = (*SidecarHandler)(nil)

// NewSidecarHandler returns the handler of a runner. tables may be nil; if it is also a
// StateSource, requests are checked against the fleet's state.
func NewSidecarHandler(r *runner.Runner, tables TableVersionSource) *SidecarHandler {
	return &SidecarHandler{runner: r, tables: tables}
}

// HTTPHandler returns the service's path and HTTP handler.
func (s *SidecarHandler) HTTPHandler() (string, http.Handler) {
	return peerv1connect.NewSidecarServiceHandler(s, wire.Compression())
}

// Run implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	r, err := decodeRun(time.Now(), req.Msg)
	if err != nil {
		return refusalwire.Encode(err)
	}
	if s.hasEnded(r.Hold.Holder) {
		return refusalwire.Encode(refusal.New(refusal.Fenced, 0, "The entry's incarnation has ended."))
	}
	r.Share = s.queueShare(r.Kind)
	sub, err := s.runner.Submit(ctx, r)
	if err != nil {
		return refusalwire.Encode(err)
	}
	delivered, err := s.sendResponse(ctx, r.ID, sub, stream)
	sub.Close(delivered)
	return refusalwire.Encode(err)
}

// hasEnded reports whether an entry's incarnation has ended according to the fleet's
// state, or false without a state. It rejects requests of an ended entry also at a sidecar
// that started after the end and therefore got no Fence call for it.
func (s *SidecarHandler) hasEnded(entry string) bool {
	source, ok := s.tables.(StateSource)
	return ok && source.State().HasEnded(entry)
}

// queueShare returns the share of the queue that a kind of work may use by the current
// tables, or 0 without tables.
func (s *SidecarHandler) queueShare(kind string) float64 {
	if source, ok := s.tables.(StateSource); ok {
		return source.State().Tables.Routes[kind].QueueShare()
	}
	return 0
}

// sendResponse streams a response and reports whether its final frame was sent.
func (s *SidecarHandler) sendResponse(ctx context.Context, id string, sub *runner.Subscription, stream *connect.ServerStream[peerv1.RunResponse]) (bool, error) {
	started := &peerv1.Started{RequestId: id, Incarnation: s.runner.Incarnation(), Load: s.load()}
	if err := stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Started{Started: started}}); err != nil {
		return false, err
	}
	for {
		chunk, err := sub.Next(ctx)
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
	frame, err := sub.PrepareFinalFrame(ctx)
	if err != nil {
		return false, err
	}
	finished := s.finishedMessage(frame)
	err = stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Finished{Finished: finished}})
	return err == nil, err
}

func (s *SidecarHandler) finishedMessage(frame run.FinalFrame) *peerv1.Finished {
	return &peerv1.Finished{
		Usage: &commonv1.Usage{
			PromptTokens: frame.PromptTokens,
			OutputTokens: frame.OutputTokens,
			BilledTokens: frame.BilledTokens,
		},
		Body:   frame.Body,
		Tokens: frame.OutputTokens,
		Hold: &peerv1.Hold{
			Holder:   frame.Hold.Holder,
			Sequence: frame.Hold.Sequence,
			Tokens:   frame.Hold.Tokens,
			Shard:    int32(frame.Hold.Shard),
		},
		Load:      s.load(),
		Replayed:  frame.Replayed,
		RequestId: frame.RequestID,
	}
}

// Acknowledge implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Acknowledge(ctx context.Context, req *connect.Request[peerv1.AcknowledgeRequest]) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	ack, err := s.runner.Acknowledge(ctx, req.Msg.GetRequestId())
	if err != nil {
		return nil, refusalwire.Encode(err)
	}
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Billed: ack.Billed, Known: ack.Known}), nil
}

// Inquire implements peerv1connect.SidecarServiceHandler.
func (s *SidecarHandler) Inquire(ctx context.Context, req *connect.Request[peerv1.InquireRequest]) (*connect.Response[peerv1.InquireResponse], error) {
	ref := run.RequestRef{
		Workspace: req.Msg.GetWorkspace(),
		Key:       req.Msg.GetIdempotencyKey(),
		RequestID: req.Msg.GetRequestId(),
		Attempt:   req.Msg.GetAttempt(),
	}
	state, err := s.runner.Inquire(ctx, ref, req.Msg.GetFence())
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

// decodeRun validates a message and converts it to a request of the runner.
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
