// Package operator implements the HTTP listener for operators, with status, metrics,
// health and readiness.
package operator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/modules/web"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
)

// Name is the listener's name in the kernel.
const Name = "operator"

// Limits of what the listener holds for its callers: tools that ask for the status, and scrapers of metrics.
const (
	maxConnections  = 64
	maxHeaderBytes  = 16 << 10
	maxHeaderFields = 128
	maxRequestBytes = 64 << 10
	bodyTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
)

// StatusSource provides the status that the handlers return.
type StatusSource interface {
	Status() *operatorv1.StatusResponse
	Fleet(ctx context.Context) *operatorv1.FleetResponse
	// NotReady returns the reasons why this process is not ready, one per line.
	NotReady() []string
}

// Server is the listener for operators. It implements kernel.Service.
type Server struct {
	log     hclog.Logger
	address netip.AddrPort
	handler http.Handler
	onLimit func()
	web     *web.Server
}

// New returns a listener at the address. /metrics returns the counters and the gauges of
// the status. onLimit is called for each connection that is closed or refused because there are too many.
func New(log hclog.Logger, address netip.AddrPort, status StatusSource, counters http.Handler, onLimit func()) *Server {
	return &Server{log: log.Named(Name), address: address, handler: NewHandler(status, counters), onLimit: onLimit}
}

// Name implements kernel.Service.
func (s *Server) Name() string { return Name }

// Start implements kernel.Service.
func (s *Server) Start(context.Context, *kernel.Kernel) error {
	server, err := web.NewServer(s.address, s.handler,
		web.WithoutHTTP2(),
		web.WithMaxHeaderBytes(maxHeaderBytes),
		web.WithMaxHeaderFields(maxHeaderFields),
		web.WithMaxConnections(func() int { return maxConnections }, s.onLimit),
		web.WithBodyTimeout(bodyTimeout),
		web.WithWriteTimeout(writeTimeout))
	if err != nil {
		return err
	}
	s.web = server
	s.log.Info("listening for operators", "address", server.Address())
	return nil
}

// Close implements kernel.Service.
func (s *Server) Close() error { return s.web.Close() }

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.web.Address() }

// NewHandler returns the HTTP handler of the listener.
func NewHandler(status StatusSource, counters http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(NewStatusHandler(status))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		counters.ServeHTTP(w, r)
		writeGauges(w, status.Status())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		reasons := status.NotReady()
		if len(reasons) > 0 {
			writeText(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n"))
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	return mux
}

// writeGauges writes the gauges that are derived from the status.
func writeGauges(w io.Writer, s *operatorv1.StatusResponse) {
	metrics.WriteGaugeUint64(w, "crocusline_ready", boolGauge(s.GetReady()))
	metrics.WriteGaugeUint64(w, "crocusline_log_reachable", boolGauge(s.GetLogReachable()))
	metrics.WriteGaugeUint64(w, "crocusline_table_version", uint64(max(s.GetTableVersion(), 0)))
	metrics.WriteGaugeUint64(w, "crocusline_drain_waits", uint64(len(s.GetWaitsFor())))
}

func boolGauge(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n"))
}

// statusHandler implements operator.v1.StatusService.
type statusHandler struct {
	status StatusSource
}

// NewStatusHandler returns the path and the HTTP handler of the status service, which is
// also served on the peer listener.
func NewStatusHandler(status StatusSource) (string, http.Handler) {
	return operatorv1connect.NewStatusServiceHandler(&statusHandler{status: status}, connect.WithReadMaxBytes(maxRequestBytes))
}

// Status implements operator.v1.StatusService.
func (h *statusHandler) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	return connect.NewResponse(h.status.Status()), nil
}

// Fleet implements operator.v1.StatusService.
func (h *statusHandler) Fleet(ctx context.Context, _ *connect.Request[operatorv1.FleetRequest]) (*connect.Response[operatorv1.FleetResponse], error) {
	return connect.NewResponse(h.status.Fleet(ctx)), nil
}
