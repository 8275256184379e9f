// Package control has the parts that the simulated systems share: the HTTP
// endpoints that inject faults at run time, and helpers to decode requests and
// write responses.
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

// MaxBodyBytes is the maximum size of a request body, in bytes.
const MaxBodyBytes = 8 << 20

// Duration is a time.Duration with the JSON form of its text, such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. Negative durations are an error.
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

// Decode decodes a JSON value. Unknown fields and trailing data are errors, so that
// a misspelt fault isn't ignored.
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

// Target is a simulated system whose faults can be changed at run time.
type Target interface {
	// FaultState returns the current faults as a value to encode as JSON.
	FaultState() any
	// MergeFaults sets the faults contained in the JSON object and leaves the
	// others unchanged.
	MergeFaults(data []byte) error
	// ResetFaults restores the initial faults.
	ResetFaults()
}

// RegisterHandlers adds GET, POST and DELETE /faults and GET /healthz to mux.
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

// ReadBody reads a body of at most MaxBodyBytes bytes. If it returns false, it has
// written an error response.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusRequestEntityTooLarge, err)
		return nil, false
	}
	return data, true
}

// WriteJSON writes a response with a JSON body.
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

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// WriteError writes an error response with a JSON body.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, errorBody{Error: err.Error()})
}

// Sleep pauses for the duration. It returns early with an error when the context
// ends.
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
