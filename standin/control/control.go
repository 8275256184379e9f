// Package control is what the stand-ins share: faults that are set over HTTP
// while a stand-in runs, and the strict decoding of what comes from outside.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// MaxBodyBytes is the largest request body that a stand-in takes, in bytes.
const MaxBodyBytes = 8 << 20

// Duration is a time.Duration that JSON shows as text, such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It refuses negative durations.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a text such as "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.WithStack(err)
	}
	if parsed < 0 {
		return errors.Errorf("duration %s is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// Decode decodes one JSON value strictly: unknown fields and trailing data are
// errors.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode JSON: data after the value")
	}
	return nil
}

// Target is a stand-in whose faults can be changed while it runs.
type Target interface {
	// FaultState returns the faults in force, ready for JSON.
	FaultState() any
	// MergeFaults changes the faults that the JSON object names and leaves
	// the others as they are.
	MergeFaults(data []byte) error
	// ResetFaults returns to the faults that the stand-in started with.
	ResetFaults()
}

// RegisterHandlers adds GET, POST and DELETE /faults and GET /healthz to the mux.
func RegisterHandlers(mux *http.ServeMux, target Target) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, target.FaultState())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		data, ok := ReadBody(w, r)
		if !ok {
			return
		}
		if err := target.MergeFaults(data); err != nil {
			WriteError(w, http.StatusBadRequest, err)
			return
		}
		WriteJSON(w, http.StatusOK, target.FaultState())
	})
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		target.ResetFaults()
		WriteJSON(w, http.StatusOK, target.FaultState())
	})
}

// ReadBody reads a body of at most MaxBody bytes. When it returns false the
// request has been answered with an error.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusRequestEntityTooLarge, err)
		return nil, false
	}
	return data, true
}

// WriteJSON answers with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// errorBody is the JSON of an error answer.
type errorBody struct {
	Error string `json:"error"`
}

// WriteError answers with an error as JSON.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, errorBody{Error: err.Error()})
}

// Sleep waits. It returns early with an error when the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
