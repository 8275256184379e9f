package cmd

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// TestServerErrorMissingInLog guards against errors of HTTP servers that don't reach the process's
// log, or that take several lines of it.
func TestServerErrorMissingInLog(t *testing.T) {
	var lines bytes.Buffer
	serverErrorLog(hclog.New(&hclog.LoggerOptions{Output: &lines})).Print("http: panic serving 127.0.0.1:1: defect\ngoroutine 1 [running]:\n\tmain.main()")
	if got := lines.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "panic serving 127.0.0.1:1: defect goroutine 1") {
		t.Errorf("got %q, want one line with the whole message", got)
	}
}
