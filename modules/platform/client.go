package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "github.com/crocusline/crocusline/modules/wire/platform/v1"
	"github.com/crocusline/crocusline/modules/wire/platform/v1/platformv1connect"
)

// Instance is an entry of the platform's list of instances, which may be outdated.
type Instance struct {
	Name          string
	Role          string
	Address       netip.AddrPort
	Region        string
	FailureDomain string
	Leaving       bool
}

// Client calls the platform over HTTP. It implements Log.
type Client struct {
	log       platformv1connect.LogServiceClient
	instances platformv1connect.InstanceServiceClient
}

// ClientHeader is the header with the client's name, which the platform uses in logs
// and limits.
const ClientHeader = "Crocusline-Client"

// ClientOption configures a Client.
type ClientOption func(*clientOptions)

type clientOptions struct {
	name string
}

// WithClientName sets the name sent with each call, such as an incarnation.
func WithClientName(name string) ClientOption {
	return func(o *clientOptions) { o.name = name }
}

// NewClient returns a client of the platform at baseURL.
func NewClient(client *http.Client, baseURL string, opts ...ClientOption) *Client {
	var o clientOptions
	for _, opt := range opts {
		opt(&o)
	}
	interceptor := connect.WithInterceptors(withClientName(o.name))
	return &Client{
		log:       platformv1connect.NewLogServiceClient(client, baseURL, interceptor),
		instances: platformv1connect.NewInstanceServiceClient(client, baseURL, interceptor),
	}
}

// withClientName sets ClientHeader on each call.
func withClientName(name string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if name != "" {
				req.Header().Set(ClientHeader, name)
			}
			return next(ctx, req)
		}
	}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	req := &platformv1.AppendRequest{Stream: stream, Data: data}
	resp, err := c.log.Append(ctx, connect.NewRequest(req))
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return 0, &LimitError{Stream: stream}
	}
	if err != nil {
		return 0, &UnavailableError{Stream: stream, Cause: err}
	}
	return resp.Msg.GetOffset(), nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	req := &platformv1.ReadRequest{
		Stream:     stream,
		From:       from,
		MaxRecords: int32(limit),
		Wait:       durationpb.New(wait),
	}
	resp, err := c.log.Read(ctx, connect.NewRequest(req))
	if err != nil {
		return Batch{}, &UnavailableError{Stream: stream, Cause: err}
	}
	batch := Batch{Oldest: resp.Msg.GetOldest(), Next: resp.Msg.GetNext()}
	if from < batch.Oldest {
		return batch, &GapError{Stream: stream, From: from, Oldest: batch.Oldest}
	}
	for _, r := range resp.Msg.GetRecords() {
		batch.Records = append(batch.Records, Record{
			Offset: r.GetOffset(),
			Time:   r.GetTime().AsTime(),
			Data:   r.GetData(),
		})
	}
	return batch, nil
}

// Instances returns the platform's list of instances, which may be outdated. Instances
// with an invalid address are omitted.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	resp, err := c.instances.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return nil, &UnavailableError{Stream: "instances", Cause: err}
	}
	var list []Instance
	for _, i := range resp.Msg.GetInstances() {
		address, err := netip.ParseAddrPort(i.GetAddress())
		if err != nil {
			continue
		}
		list = append(list, Instance{
			Name:          i.GetName(),
			Role:          i.GetRole(),
			Address:       address,
			Region:        i.GetRegion(),
			FailureDomain: i.GetFailureDomain(),
			Leaving:       i.GetLeaving(),
		})
	}
	return list, nil
}
