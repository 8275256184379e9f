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

// lineSink writes each event as one line. The text format of hclog is not used
// because it writes the message before the pairs and splits long values into several
// lines. The logger serializes the calls of Accept.
type lineSink struct {
	w        io.Writer
	minLevel hclog.Level
	now      func() time.Time
}

// maxValueBytes limits the values of an event. Some repeat what servers and callers sent.
const maxValueBytes = 2 << 10

const timeFormat = "2006-01-02T15:04:05.000Z"

// Accept implements hclog.SinkAdapter.
func (s *lineSink) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < s.minLevel {
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
		writePair(&b, formatValue(args[i]), formatValue(args[i+1]))
	}
	if len(args)%2 == 1 {
		writePair(&b, "extra", formatValue(args[len(args)-1]))
	}
	b.WriteByte('\n')
	_, _ = io.WriteString(s.w, b.String())
}

func writePair(b *strings.Builder, key, value string) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	if len(value) > maxValueBytes {
		value = fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(value[:maxValueBytes], ""), len(value))
	}
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

func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case hclog.Format:
		if len(v) == 0 {
			return ""
		}
		return fmt.Sprintf(formatValue(v[0]), v[1:]...)
	default:
		return fmt.Sprint(v)
	}
}
