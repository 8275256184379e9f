package log_test

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

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

func TestUnknownLevel(t *testing.T) {
	if _, err := log.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Fatal("no error")
	}
}
