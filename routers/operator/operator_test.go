package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/modules/metric"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
	"github.com/crocusline/crocusline/routers/operator"
)

// fixedStatus is a StatusSource with a fixed status.
type fixedStatus struct {
	notReady []string
}

func (f *fixedStatus) Status() *operatorv1.StatusResponse {
	return &operatorv1.StatusResponse{Name: "entry-1", Ready: true, TableVersion: 7}
}

func (f *fixedStatus) Fleet(context.Context) *operatorv1.FleetResponse {
	return &operatorv1.FleetResponse{TableVersion: 7}
}

func (f *fixedStatus) NotReady() []string { return f.notReady }

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func TestOperatorEndpoints(t *testing.T) {
	status := &fixedStatus{notReady: []string{"control: no tables yet", "drain: ending"}}
	metrics := metric.New(metric.WithRefusals("queueFull"))
	server := httptest.NewServer(operator.NewHandler(status, metrics))
	defer server.Close()

	if code, body := get(t, server.URL+"/readyz"); code != 503 || !strings.Contains(body, "no tables") || !strings.Contains(body, "ending") {
		t.Errorf("/readyz: %d %q", code, body)
	}
	status.notReady = nil
	if code, _ := get(t, server.URL+"/readyz"); code != 200 {
		t.Errorf("/readyz: %d", code)
	}
	if code, _ := get(t, server.URL+"/healthz"); code != 200 {
		t.Errorf("/healthz: %d", code)
	}
	if code, body := get(t, server.URL+"/metrics"); code != 200 || !strings.Contains(body, `crocusline_refusals_total{reason="queueFull"} 0`) {
		t.Errorf("/metrics: %d %q", code, body)
	}
	if _, body := get(t, server.URL+"/metrics"); !strings.Contains(body, "crocusline_ready 1\n") ||
		!strings.Contains(body, "crocusline_log_reachable 0\n") || !strings.Contains(body, "crocusline_table_version 7\n") {
		t.Errorf("no gauges in /metrics: %q", body)
	}
	client := operatorv1connect.NewStatusServiceClient(server.Client(), server.URL)
	fleet, err := client.Fleet(t.Context(), connect.NewRequest(&operatorv1.FleetRequest{}))
	if err != nil || fleet.Msg.GetTableVersion() != 7 {
		t.Errorf("fleet %v, %v", fleet, err)
	}
	own, err := client.Status(t.Context(), connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil || own.Msg.GetName() != "entry-1" {
		t.Errorf("status %v, %v", own, err)
	}
}
