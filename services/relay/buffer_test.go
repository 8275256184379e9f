package relay

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	budget "github.com/crocusline/crocusline/models/memory"
	"github.com/crocusline/crocusline/services/memory"
)

// TestReadBodyBudget checks that a body is buffered only while the budget of the process allows it,
// and that what a request held is free after it, or after a body that breaks off.
func TestReadBodyBudget(t *testing.T) {
	const size = maxBufferedBytes - 1
	s := &Service{memory: memory.New(8 * (maxBufferedBytes - budget.MinResponseBytes))}
	body := bytes.Repeat([]byte("x"), size)
	read := func(r io.Reader) (*job, []byte, bool, error) {
		j := &job{service: s}
		data, complete, err := j.readBody(r)
		return j, data, complete, err
	}
	errBroken := errors.New("broken off")
	if _, _, _, err := read(io.MultiReader(bytes.NewReader(body), iotest.ErrReader(errBroken))); !errors.Is(err, errBroken) {
		t.Fatalf("a body that breaks off: %v", err)
	}
	first, data, complete, err := read(bytes.NewReader(body))
	if err != nil || !complete || !bytes.Equal(data, body) {
		t.Fatalf("first body: %d bytes, complete %t, %v", len(data), complete, err)
	}
	_, data, complete, err = read(bytes.NewReader(body))
	if err != nil || complete || len(data) != budget.MinResponseBytes {
		t.Errorf("body beyond the budget: %d bytes, complete %t, %v", len(data), complete, err)
	}
	first.releaseBuffers()
	if _, data, complete, err = read(bytes.NewReader(body)); err != nil || !complete || len(data) != size {
		t.Errorf("body after the first was released: %d bytes, complete %t, %v", len(data), complete, err)
	}
}
