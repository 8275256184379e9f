// Package log provides the logger of a process, which writes one line of key=value
// pairs per event.
package log

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// New returns a logger that writes events of at least the level to w. The levels are
// trace, debug, info, warn and error.
func New(w io.Writer, level string) (hclog.Logger, error) {
	minLevel := hclog.LevelFromString(level)
	if minLevel == hclog.NoLevel || minLevel == hclog.Off {
		return nil, errors.Errorf("unknown log level %q: use trace, debug, info, warn or error", level)
	}
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: minLevel, Output: io.Discard})
	logger.RegisterSink(&lineSink{w: w, minLevel: minLevel, now: time.Now})
	return logger, nil
}
