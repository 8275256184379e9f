package log

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/hashicorp/go-hclog"
)

// lineSink writes each event as one line. The library's own text format puts
// a message before the pairs and breaks long values over several lines.
// The logger calls it under a lock.
type lineSink struct {
	w   io.Writer
	min hclog.Level
	now func() time.Time
}

const timeFormat = "2006-01-02T15:04:05.000Z"

// Accept implements hclog.SinkAdapter.
func (s *lineSink) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < s.min {
		return
	}
	var b strings.Builder
	b.WriteString("time=" + s.now().UTC().Format(timeFormat))
	writePair(&b, "level", level.String())
	if name != "" {
		writePair(&b, "logger", name)
	}
	writePair(&b, "event", msg)
	for i := 0; i+1 < len(args); i += 2 {
		writePair(&b, text(args[i]), text(args[i+1]))
	}
	if len(args)%2 == 1 {
		writePair(&b, "extra", text(args[len(args)-1]))
	}
	b.WriteByte('\n')
	_, _ = io.WriteString(s.w, b.String())
}

func writePair(b *strings.Builder, key, value string) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	if needsQuotes(value) {
		value = strconv.Quote(value)
	}
	b.WriteString(value)
}

func needsQuotes(value string) bool {
	return value == "" || strings.ContainsFunc(value, func(r rune) bool {
		return r == '"' || r == '=' || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}

func text(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case hclog.Format:
		if len(v) == 0 {
			return ""
		}
		return fmt.Sprintf(text(v[0]), v[1:]...)
	default:
		return fmt.Sprint(v)
	}
}
