package notice_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/roster"
)

// TestBoard checks which responses and statements begin and end a limit of one request per second.
func TestBoard(t *testing.T) {
	named := notice.Response{Notice: call.Notice{Limit: 1}, Proven: true}
	answer := func(sent time.Duration) notice.Response {
		return notice.Response{SentAt: epoch.Add(sent), Proven: true}
	}
	tests := []struct {
		name   string
		events func(b *notice.Board)
		want   bool
	}{
		{"nothing", func(*notice.Board) {}, false},
		{"named", func(b *notice.Board) { b.Record(epoch, server, named) }, true},
		{"named without proof", func(b *notice.Board) {
			b.Record(epoch, server, notice.Response{Notice: call.Notice{Limit: 1}})
		}, true},
		{"no longer named", func(b *notice.Board) {
			b.Record(epoch, server, named)
			b.Record(epoch.Add(2*time.Second), server, answer(time.Second))
		}, false},
		{"answer to an earlier request", func(b *notice.Board) {
			b.Record(epoch, server, named)
			b.Record(epoch.Add(2*time.Second), server, answer(-time.Second))
		}, true},
		{"answer without proof", func(b *notice.Board) {
			b.Record(epoch, server, named)
			b.Record(epoch.Add(2*time.Second), server, notice.Response{SentAt: epoch.Add(time.Second)})
		}, true},
		{"invalid value", func(b *notice.Board) {
			b.Record(epoch, server, named)
			r := answer(time.Second)
			r.LimitUndecoded = true
			b.Record(epoch.Add(2*time.Second), server, r)
		}, true},
		{"only an invalid value", func(b *notice.Board) {
			b.Record(epoch, server, notice.Response{Notice: call.Notice{LimitUndecoded: true}, Proven: true})
		}, false},
		{"other start", func(b *notice.Board) { b.Record(epoch, roster.Server{ID: "s", Started: 6}, named) }, false},
		{"other server", func(b *notice.Board) { b.Record(epoch, roster.Server{ID: "x", Started: 7}, named) }, false},
		{"stated", func(b *notice.Board) { b.Learn(epoch, notice.Statement{ID: "s", Started: 7, Limit: 1}) }, true},
		{"end stated", func(b *notice.Board) {
			b.Learn(epoch, notice.Statement{ID: "s", Started: 7, Limit: 1})
			b.LearnEnd(epoch.Add(time.Second), "s")
		}, false},
		{"end stated, named since", func(b *notice.Board) {
			b.Learn(epoch, notice.Statement{ID: "s", Started: 7, Limit: 1})
			b.Record(epoch.Add(1900*time.Millisecond), server, named)
			b.LearnEnd(epoch.Add(2*time.Second), "s")
		}, true},
		{"statement gone from the store", func(b *notice.Board) {
			b.Learn(epoch, notice.Statement{ID: "s", Started: 7, Limit: 1})
			b.Keep(epoch.Add(time.Second), nil, false)
		}, false},
		{"statement gone from a copy of the store", func(b *notice.Board) {
			b.Learn(epoch, notice.Statement{ID: "s", Started: 7, Limit: 1})
			b.Keep(epoch.Add(time.Second), nil, true)
		}, true},
		{"not listed for a while", func(b *notice.Board) {
			b.Record(epoch, server, named)
			b.SetListed(epoch.Add(30*time.Second), nil)
		}, true},
		{"not listed for long", func(b *notice.Board) {
			b.Record(epoch, server, named)
			b.SetListed(epoch.Add(2*time.Minute), nil)
		}, false},
	}
	for _, tt := range tests {
		b := notice.NewBoard(nil)
		tt.events(b)
		if got, _ := b.Limits(epoch.Add(2*time.Second), server); got != tt.want {
			t.Errorf("%s: limited is %t", tt.name, got)
		}
	}
}

// TestUnpublished checks what a gateway states to the others: what it observed itself and they
// don't know, once a second until they know it.
func TestUnpublished(t *testing.T) {
	b := notice.NewBoard(nil)
	b.Learn(epoch, notice.Statement{ID: "read", Started: 1, Limit: 5})
	b.Record(epoch, server, notice.Response{Notice: call.Notice{Limit: 2}, Proven: true})
	want := notice.Statement{ID: server.ID, Started: server.Started, Limit: 2}
	for _, at := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		got := b.Unpublished(epoch.Add(at))
		if due := at != 500*time.Millisecond; len(got) != 0 != due || (due && got[0] != want) {
			t.Errorf("after %s: %+v", at, got)
		}
	}
	b.Learn(epoch.Add(time.Second), want)
	if got := b.Unpublished(epoch.Add(3 * time.Second)); len(got) > 0 {
		t.Errorf("stated again: %+v", got)
	}
	b.Record(epoch.Add(4*time.Second), server, notice.Response{SentAt: epoch.Add(3 * time.Second), Proven: true})
	if got := b.Unpublished(epoch.Add(4 * time.Second)); len(got) != 1 || got[0].Limit != 0 {
		t.Errorf("the end of the limit: %+v", got)
	}
}

// TestStatement checks that statements survive the store, and that other values state nothing.
func TestStatement(t *testing.T) {
	want := notice.Statement{ID: "s", Started: 7, Limit: 2.5}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := notice.ParseStatement("s", data); err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, odd := range [][]byte{{}, {1}, []byte("{}"), {0xa1, 0x02, 0xfb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0}} {
		if got, err := notice.ParseStatement("s", odd); err == nil {
			t.Errorf("% x is %+v", odd, got)
		}
	}
	if id, instance := notice.ParseKey(notice.ServerKey("gateway/a")); id != "gateway/a" || instance != "" {
		t.Errorf("server %q, gateway %q", id, instance)
	}
}
