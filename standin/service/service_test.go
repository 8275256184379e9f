package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/service"
)

func start(t *testing.T) (*service.Service, *httptest.Server) {
	t.Helper()
	s := service.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server
}

func call(t *testing.T, server *httptest.Server, key, body string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/call", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(service.IdempotencyKeyHeader, key)
	req.Header.Set(service.RequestIDHeader, "r")
	resp, err := server.Client().Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(response), err
}

func TestCountsEachExecution(t *testing.T) {
	s, server := start(t)
	for _, body := range []string{"x", "x", "y"} {
		if status, response, err := call(t, server, "k", body); err != nil || status != http.StatusOK {
			t.Fatal(status, response, err)
		}
	}
	record := s.Calls()["k"]
	if record.Count != 3 || record.OtherBodies != 1 || record.BodyHash != service.BodyHash([]byte("x")) {
		t.Errorf("record %+v", record)
	}
}

func TestErrorBeforeEffect(t *testing.T) {
	s, server := start(t)
	s.SetFaults(service.Faults{FailNext: 1})
	if status, _, err := call(t, server, "k", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Fatal(status, err)
	}
	if len(s.Calls()) != 0 {
		t.Errorf("record %+v, want none", s.Calls())
	}
}

func TestResponseLostAfterEffect(t *testing.T) {
	s, server := start(t)
	s.SetFaults(service.Faults{LoseNextAnswers: 1})
	if status, _, err := call(t, server, "k", ""); err == nil {
		t.Fatalf("status %d, want a closed connection", status)
	}
	if s.Calls()["k"].Count != 1 {
		t.Errorf("record %+v, want one execution", s.Calls())
	}
}

func TestFreezeDelaysEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.New(service.WithFaults(service.Faults{Slowness: control.Duration(time.Second)}))
		if err := s.MergeFaults([]byte(`{"freeze":true}`)); err != nil {
			t.Fatal(err)
		}
		ended := make(chan time.Duration, 1)
		begin := time.Now()
		go func() {
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/call", nil)
			s.Handler().ServeHTTP(httptest.NewRecorder(), req)
			ended <- time.Since(begin)
		}()
		time.Sleep(time.Minute)
		if len(s.Calls()) != 0 {
			t.Errorf("record %+v while frozen", s.Calls())
		}
		s.ResetFaults()
		if took := <-ended; took != time.Minute+time.Second/2 || s.Calls()[""].Count != 1 {
			t.Errorf("call took %s, record %+v", took, s.Calls())
		}
	})
}

func TestUnknownFaultIsRejected(t *testing.T) {
	s, _ := start(t)
	if err := s.MergeFaults([]byte(`{"frozen":true}`)); err == nil {
		t.Error("no error for an unknown fault")
	}
}
