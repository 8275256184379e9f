package shard

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/modules/peer"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

// probeResult is the result of probing a shard's owner.
type probeResult interface {
	isProbeResult()
}

// serving is the result if the process serves the shard.
type serving struct{}

// notServing is the result if the process answered that it does not serve the
// shard.
type notServing struct{}

// unresponsive is the result if the call failed in any other way.
type unresponsive struct{}

func (serving) isProbeResult()      {}
func (notServing) isProbeResult()   {}
func (unresponsive) isProbeResult() {}

// probe queries the process at the address whether it serves the shard. A process
// that serves it hands it over if this process is the preferred owner.
func (h *Host) probe(ctx context.Context, shard int, address netip.AddrPort) probeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerv1.ClaimRequest{Shard: int32(shard), Claimant: h.member.Incarnation}
	_, err := h.peer(address).Claim(ctx, connect.NewRequest(req))
	if err == nil {
		return serving{}
	}
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return notServing{}
	}
	return unresponsive{}
}

func baseURL(address netip.AddrPort) string { return peer.URL(address) }
