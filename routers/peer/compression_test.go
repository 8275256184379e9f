package peer

import (
	"bytes"
	"testing"

	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/wiretest"
)

func TestOnlyLargeMessagesAreCompressed(t *testing.T) {
	var decompressions wiretest.DecompressionCounter
	c, _ := startSidecar(t, decompressions.Option())
	req := &peerv1.RunRequest{RequestId: "small", Workspace: "clinic", Idempotent: true, Prompt: "a b c", Hold: hold("entry/1")}
	if _, _, err := runRequest(t, c, req); err != nil {
		t.Fatal(err)
	}
	if n := decompressions.Count(); n != 0 {
		t.Errorf("%d compressed messages received, want none for a small response", n)
	}
	req.RequestId, req.Body = "large", bytes.Repeat([]byte("x"), 4096)
	if _, _, err := runRequest(t, c, req); err != nil {
		t.Fatal(err)
	}
	if n := decompressions.Count(); n != 1 {
		t.Errorf("%d compressed messages received, want only the one with the body", n)
	}
}
