package codec_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/codec"
)

type sample struct {
	Counts map[string]int `json:"counts"`
	At     time.Time      `json:"at"`
}

func TestEqualValuesHaveEqualEncodings(t *testing.T) {
	at := time.Date(2026, 12, 1, 8, 0, 0, 123, time.UTC)
	first, err := codec.Marshal(sample{At: at, Counts: map[string]int{"a": 1, "b": 2, "c": 3}})
	if err != nil {
		t.Fatal(err)
	}
	second, err := codec.Marshal(sample{At: at, Counts: map[string]int{"c": 3, "b": 2, "a": 1}})
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Fatal("the encodings of equal values differ")
	}
	var decoded sample
	if err := codec.Unmarshal(first, &decoded); err != nil || !decoded.At.Equal(at) {
		t.Fatalf("got %+v, %v", decoded, err)
	}
}

func TestDuplicateKeysAreRejected(t *testing.T) {
	// {"counts": {}, "counts": {}}
	data := append([]byte{0xa2}, bytes.Repeat(append([]byte{0x66}, "counts\xa0"...), 2)...)
	if err := codec.Unmarshal(data, &sample{}); err == nil {
		t.Fatal("no error")
	}
}
