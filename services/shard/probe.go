package shard

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/modules/peer"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

// answer is what a probe of an owner found.
type answer interface {
	isAnswer()
}

// serving means that the owner serves the shard.
type serving struct{}

// notServing means that the process does not serve the shard.
type notServing struct{}

// silent means that there was no answer.
type silent struct{}

func (serving) isAnswer()    {}
func (notServing) isAnswer() {}
func (silent) isAnswer()     {}

// probe asks the process at the address whether it serves the shard.
func (h *Host) probe(ctx context.Context, shard int, address netip.AddrPort) answer {
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
	return silent{}
}

func baseURL(address netip.AddrPort) string { return peer.URL(address) }
