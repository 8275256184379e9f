package web_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/web"
)

func TestCloseWaitsForRequests(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "complete")
	})
	s, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithDrainTimeout(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	body := make(chan string, 1)
	go func() { body <- get(t, "http://"+s.Address().String()) }()
	<-entered
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	close(release)
	if got := <-body; got != "complete" {
		t.Fatalf("body %q", got)
	}
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
}

func TestWriteTimeoutEndsStreamOfSlowReader(t *testing.T) {
	ended := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for {
			if _, err := w.Write(chunk); err != nil {
				ended <- err
				return
			}
		}
	})
	s, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithWriteTimeout(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Fatal("the stream did not end")
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		t.Error(err)
		return ""
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return string(body)
}
