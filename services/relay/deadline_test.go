package relay

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/standin/site"
)

// stalledContext is the context of a request whose process stands still once a connection was taken.
type stalledContext struct {
	context.Context
	stall time.Duration
}

// Done implements context.Context.
func (c stalledContext) Done() <-chan struct{} {
	time.Sleep(c.stall)
	return c.Context.Done()
}

// TestServerGetsTimeOfStall guards against servers that are given more time than is left, as the process stood still
// between the encoding of the request and its write.
func TestServerGetsTimeOfStall(t *testing.T) {
	const stall = 700 * time.Millisecond
	for _, body := range []int{4, 64 << 10} {
		for _, taken := range []bool{false, true} {
			server := site.NewServer("s1", 0)
			defer server.Close()
			client := exchange.New()
			defer func() { _ = client.Close() }()
			if err := client.Connect(t.Context(), server.Address()); err != nil {
				t.Fatal(err)
			}
			j := &job{
				service:  &Service{codec: platform.HeaderCodec{}},
				request:  &call.Request{ID: "r1", Method: http.MethodPost, Target: "/once/a", Host: "a.example", Header: http.Header{"Request-Id": {"r1"}}, Body: make([]byte, body)},
				route:    route.Route{},
				pool:     route.Pool{Name: "s1", MaxConns: 9},
				deadline: time.Now().Add(4 * time.Second),
			}
			r := j.buildRequest(balance.Choice{Server: roster.Server{ID: "s1", Address: server.Address()}})
			ctx := t.Context()
			if taken {
				ctx = stalledContext{ctx, stall}
			} else {
				time.Sleep(stall)
			}
			resp, err := client.Do(ctx, r)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			received := server.Requests()[0]
			ms, err := strconv.Atoi(received.Header.Get("Deadline-Ms"))
			if err != nil {
				t.Fatal(err)
			}
			if more := received.At.Add(time.Duration(ms) * time.Millisecond).Sub(j.deadline); more > stall/4 {
				t.Errorf("body of %d bytes, connection taken %t: the server got %s more than is left", body, taken, more)
			}
		}
	}
}
