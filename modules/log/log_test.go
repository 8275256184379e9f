package log_test

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/crocusline/crocusline/modules/log"
)

func TestEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger, err := log.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug("not written")
	logger.Named("entry").With("requestId", "r1").Info("request finished",
		"wait", 20*time.Millisecond, "error", errors.New("two\nlines"), "empty", "", "tokens", 7)

	want := regexp.MustCompile(`^time=\S+Z level=info logger=entry event="request finished" requestId=r1 ` +
		`wait=20ms error="two\\nlines" empty="" tokens=7\n$`)
	if !want.MatchString(out.String()) {
		t.Fatalf("got %q", out.String())
	}
	if strings.Count(out.String(), "\n") != 1 {
		t.Fatalf("more than one line: %q", out.String())
	}
}

// TestLongValue checks that a line stays short and readable whatever a server sent.
func TestLongValue(t *testing.T) {
	const (
		size     = 64 << 10
		maxBytes = 10 << 10
	)
	for _, sent := range []string{"x", "\x01", "\x80", `"`, "\u20ac"} {
		var out bytes.Buffer
		logger, err := log.New(&out, "info")
		if err != nil {
			t.Fatal(err)
		}
		logger.Info("send outcome unknown", "error", fmt.Errorf("malformed response %q", strings.Repeat(sent, size)), "took", 7)
		line := out.String()
		if len(line) > maxBytes || !utf8.ValidString(line) || !strings.HasSuffix(line, " took=7\n") || !strings.Contains(line, "bytes)") {
			t.Errorf("%q: line of %d bytes, ending in %q", sent, len(line), line[max(0, len(line)-100):])
		}
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := log.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Fatal("no error")
	}
}
