// Package log sets up the process's logger: one line of key=value pairs an
// event.
package log

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// New returns a logger that writes events of the level and above to w. The
// level is one of trace, debug, info, warn and error.
func New(w io.Writer, level string) (hclog.Logger, error) {
	min := hclog.LevelFromString(level)
	if min == hclog.NoLevel || min == hclog.Off {
		return nil, errors.Errorf("unknown log level %q: use trace, debug, info, warn or error", level)
	}
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: min, Output: io.Discard})
	logger.RegisterSink(&lineSink{w: w, min: min, now: time.Now})
	return logger, nil
}
