package metric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/modules/metric"
)

func TestCountersExistBeforeFirstUse(t *testing.T) {
	set := metric.New(metric.WithRefusals("queueFull", "draining"), metric.WithRetries("serverFailed"))
	set.CountRefusal("draining")
	set.CountRefusal("notListed")
	set.CountRetry("serverFailed")
	set.Gauge("crocusline_ready", func() float64 { return 1 })

	page := httptest.NewRecorder()
	set.ServeHTTP(page, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`crocusline_refusals_total{reason="queueFull"} 0`,
		`crocusline_refusals_total{reason="draining"} 1`,
		`crocusline_refusals_total{reason="notListed"} 1`,
		`crocusline_retries_total{reason="serverFailed"} 1`,
		`crocusline_ready 1`,
	} {
		if !strings.Contains(page.Body.String(), line+"\n") {
			t.Errorf("no line %q in\n%s", line, page.Body.String())
		}
	}
}
