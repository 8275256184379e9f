package entry_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
	"github.com/crocusline/crocusline/standin/cluster"
	"github.com/crocusline/crocusline/standin/crowd"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// defaultMemory and defaultDescriptors are the limits of a process whose settings have none, those of a gateway.
	defaultMemory      = 128 << 20
	defaultDescriptors = 3075
	// callBytes is the default limit of a request, and bodyCallers the number of callers that send one at
	// once. Their bodies together are more than twice the memory of the process.
	callBytes   = 1 << 20
	bodyCallers = 300
	// headerCallers is the number of connections with a part of a header, of headerBytes.
	headerCallers = 3000
	headerBytes   = 15 << 10
	// fieldCallers is the number of connections with headers of many fields, and stalledBodyBytes the length of the
	// bodies that follow some of them.
	fieldCallers     = 1500
	stalledBodyBytes = 1000
	// streamCallers is the number of HTTP/2 connections, each with streamsPerConnection requests and a
	// field of streamHeaderBytes in each.
	streamCallers        = 100
	streamsPerConnection = 200
	streamHeaderBytes    = 14 << 10
	// streamBodyCallers is the number of HTTP/2 connections, each with streamBodies bodies of streamBodyBytes.
	streamBodyCallers = 300
	streamBodies      = 100
	streamBodyBytes   = 700
	// slowReaders is the number of callers that don't read their answer of slowTokens tokens.
	slowReaders = 600
	slowTokens  = 4000
	// answerBytes is the size of the answers of the plain service, almost the largest that a sidecar takes.
	answerBytes = 1_000_000
	// handshakeBytes is the size of the first message of a TLS handshake, almost the largest that is allowed.
	handshakeBytes = 65_000
)

const (
	callPath   = callerv1connect.RouterServiceCallProcedure
	submitPath = callerv1connect.RouterServiceSubmitProcedure
	statusPath = operatorv1connect.StatusServiceStatusProcedure
)

// callHead returns the start of a request to an entry, without the end of its last line.
func callHead(path, contentType string, further ...string) string {
	fields := append([]string{"POST " + path + " HTTP/1.1", "Host: entry.example", "Content-Type: " + contentType, "Connect-Protocol-Version: 1"}, further...)
	return strings.Join(fields, "\r\n")
}

var authorization = "Authorization: Bearer " + cluster.Token

// booking returns a call to a plain service, of the size together.
func booking(caller int, size int) *callerv1.CallRequest {
	call := &callerv1.CallRequest{Request: &callerv1.SubmitRequest{
		Workspace: cluster.Workspace, Kind: "book", IdempotencyKey: fmt.Sprintf("crowd-%d", caller), Body: []byte("x"),
	}}
	for more := size - proto.Size(call); more > 0; more = size - proto.Size(call) {
		call.Request.Body = append(call.Request.Body, make([]byte, more)...)
	}
	for proto.Size(call) > size {
		call.Request.Body = call.Request.Body[1:]
	}
	return call
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// envelope returns a message as the Connect protocol sends it in streams.
func envelope(flags byte, message []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{flags}, uint32(len(message))), message...)
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

const compressedFlag = 1

// entryCrowds are crowds that call the listener of callers.
var entryCrowds = []crowd.Crowd{
	{Name: "bodies with a length, no token", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto"), encode(booking(caller, callBytes)), complete, callBytes, 0)
	}},
	{Name: "bodies with a length", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, callBytes)), complete, callBytes, 0)
	}},
	{Name: "bodies with a length piece by piece", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, callBytes)), complete, 64<<10, 10*time.Millisecond)
	}},
	{Name: "JSON with a length", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		body := fmt.Sprintf(`{"request":{"workspace":%q,"kind":"draft","maxTokens":1,"idempotencyKey":"crowd-%d","prompt":"%s"}}`,
			cluster.Workspace, caller, strings.Repeat("x", callBytes-200))
		return crowd.WriteLength(w, callHead(callPath, "application/json", authorization), []byte(body), complete, callBytes, 0)
	}},
	{Name: "chunks of 64 KiB", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteChunks(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, callBytes)), complete, 64<<10)
	}},
	{Name: "chunks of one byte", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteChunks(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, callBytes)), complete, 1)
	}},
	{Name: "envelopes, no token", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteChunks(w, callHead(submitPath, "application/connect+proto"), envelope(0, encode(booking(caller, callBytes).GetRequest())), complete, 64<<10)
	}},
	{Name: "envelopes", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteChunks(w, callHead(submitPath, "application/connect+proto", authorization), envelope(0, encode(booking(caller, callBytes).GetRequest())), complete, 64<<10)
	}},
	{Name: "compressed bodies", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		body := compress(encode(booking(caller, callBytes)))
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization, "Content-Encoding: gzip"), body, complete, callBytes, 0)
	}},
	{Name: "whole compressed bodies", Callers: bodyCallers, Write: func(w io.Writer, caller int, _ bool) error {
		body := compress(encode(booking(caller, callBytes)))
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization, "Content-Encoding: gzip"), body, true, callBytes, 0)
	}},
	{Name: "whole compressed envelopes", Callers: bodyCallers, Write: func(w io.Writer, caller int, _ bool) error {
		body := envelope(compressedFlag, compress(encode(booking(caller, callBytes).GetRequest())))
		return crowd.WriteChunks(w, callHead(submitPath, "application/connect+proto", authorization, "Connect-Content-Encoding: gzip"), body, true, 64<<10)
	}},
	{Name: "gRPC-Web messages", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteChunks(w, callHead(submitPath, "application/grpc-web+proto", authorization), envelope(0, encode(booking(caller, callBytes).GetRequest())), complete, 64<<10)
	}},
	{Name: "parts of headers", Callers: headerCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, callHead(callPath, "application/proto", crowd.LongField(headerBytes)))
		return err
	}},
	{Name: "parts of headers of many fields", Callers: fieldCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, callHead(callPath, "application/proto", crowd.ShortFields(headerBytes)))
		return err
	}},
	{Name: "bodies after headers of many fields", Callers: fieldCallers, Write: func(w io.Writer, _ int, complete bool) error {
		head := callHead(callPath, "application/proto", authorization, crowd.ShortFields(headerBytes))
		return crowd.WriteLength(w, head, make([]byte, stalledBodyBytes), complete, stalledBodyBytes, 0)
	}},
	{Name: "HTTP/2 headers", Callers: streamCallers, Write: func(w io.Writer, _ int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", streamHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(int) []crowd.Field { return streamFields(long) }, nil)
	}},
	{Name: "HTTP/2 bodies", Callers: streamBodyCallers, Write: func(w io.Writer, _ int, _ bool) error {
		return crowd.WriteHTTP2(w, streamBodies, func(int) []crowd.Field { return streamFields() }, make([]byte, streamBodyBytes))
	}},
	{Name: "parts of HTTP/2 frames", Callers: streamBodyCallers, Write: func(w io.Writer, _ int, _ bool) error {
		return crowd.WriteHTTP2Part(w, callBytes)
	}},
	{Name: "answers that are not read", Callers: slowReaders, Unread: true, Write: func(w io.Writer, caller int, _ bool) error {
		body := envelope(0, encode(&callerv1.SubmitRequest{
			Workspace: cluster.Workspace, Kind: "draft", IdempotencyKey: fmt.Sprintf("crowd-%d", caller), Prompt: "x", MaxTokens: slowTokens,
		}))
		return crowd.WriteLength(w, callHead(submitPath, "application/connect+proto", authorization), body, true, callBytes, 0)
	}},
	{Name: "whole answers in one message", Callers: slowReaders, Write: func(w io.Writer, caller int, _ bool) error {
		body := encode(&callerv1.CallRequest{Request: &callerv1.SubmitRequest{
			Workspace: cluster.Workspace, Kind: "draft", IdempotencyKey: fmt.Sprintf("crowd-%d", caller), Prompt: "x", MaxTokens: slowTokens,
		}})
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization), body, true, callBytes, 0)
	}},
}

// answerCrowds are crowds that get large answers.
var answerCrowds = []crowd.Crowd{
	{Name: "large answers that are not read", Callers: slowReaders, Unread: true, Write: func(w io.Writer, caller int, _ bool) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, stalledBodyBytes)), true, callBytes, 0)
	}},
	{Name: "large streamed answers that are not read", Callers: slowReaders, Unread: true, Write: func(w io.Writer, caller int, _ bool) error {
		body := envelope(0, encode(booking(caller, stalledBodyBytes).GetRequest()))
		return crowd.WriteLength(w, callHead(submitPath, "application/connect+proto", authorization), body, true, callBytes, 0)
	}},
}

// tlsCrowds are crowds that call the listener of callers over TLS. The first one sends no valid record.
var tlsCrowds = []crowd.Crowd{
	{Name: "parts of headers", Callers: fieldCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, callHead(callPath, "application/proto", crowd.LongField(headerBytes)))
		return err
	}},
	{Name: "parts of headers of many fields", Callers: fieldCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, callHead(callPath, "application/proto", crowd.ShortFields(headerBytes)))
		return err
	}},
	{Name: "bodies with a length", Callers: bodyCallers, Write: func(w io.Writer, caller int, complete bool) error {
		return crowd.WriteLength(w, callHead(callPath, "application/proto", authorization), encode(booking(caller, callBytes)), complete, callBytes, 0)
	}},
	{Name: "HTTP/2 headers", Callers: streamCallers, Write: func(w io.Writer, _ int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", streamHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(int) []crowd.Field { return streamFields(long) }, nil)
	}},
}

// streamFields returns the header of a call over HTTP/2, with further fields.
func streamFields(further ...crowd.Field) []crowd.Field {
	return append(crowd.Post("entry.example", callPath, crowd.Field{Name: "content-type", Value: "application/proto"}), further...)
}

// TestEntryCrowds guards against an entry that takes more memory than its settings allow, or ends, or stops serving, when
// many callers send requests that they don't finish, in the protocols and framings that its listener accepts.
func TestEntryCrowds(t *testing.T) {
	f := newFleet(t, false)
	for _, c := range entryCrowds {
		t.Run(c.Name, func(t *testing.T) {
			f.restartEntry(t)
			f.requireService(t, "before the crowd")
			knownred.Report(t, f.run(t, c, defaultMemory))
			f.requireService(t, "after the crowd")
		})
	}
}

// TestEntryCrowdsOfAnswers guards against an entry that holds more answers than its settings allow for callers that don't
// read them.
func TestEntryCrowdsOfAnswers(t *testing.T) {
	for _, c := range answerCrowds {
		t.Run(c.Name, func(t *testing.T) {
			f := newFleet(t, false)
			if err := f.SetFaults(t.Context(), "booking-1", fmt.Sprintf(`{"answerBytes":%d}`, answerBytes)); err != nil {
				t.Fatal(err)
			}
			f.requireService(t, "before the crowd")
			knownred.Report(t, f.run(t, c, defaultMemory))
			f.requireService(t, "after the crowd")
		})
	}
}

// TestEntryCrowdsOverTLS guards against the same as TestEntryCrowds at an entry that serves callers over TLS.
func TestEntryCrowdsOverTLS(t *testing.T) {
	f := newFleet(t, true)
	config := f.tlsConfig(t)
	// A server that doesn't speak HTTP/2 refuses it in the handshake.
	config.NextProtos = []string{"h2", "http/1.1"}
	crowds := []crowd.Crowd{{Name: "parts of handshakes", Callers: fieldCallers, Write: func(w io.Writer, _ int, _ bool) error {
		return crowd.WriteHandshakePart(w, handshakeBytes)
	}}}
	for _, c := range tlsCrowds {
		c.TLS = config.Clone()
		if c.Name != "HTTP/2 headers" {
			c.TLS.NextProtos = nil
		}
		crowds = append(crowds, c)
	}
	for _, c := range crowds {
		t.Run(c.Name, func(t *testing.T) {
			f.restartEntry(t)
			f.requireService(t, "before the crowd")
			knownred.Report(t, f.run(t, c, defaultMemory))
			f.requireService(t, "after the crowd")
		})
	}
}

// operatorCrowds are crowds that call the listener of operators.
var operatorCrowds = []crowd.Crowd{
	{Name: "bodies with a length", Callers: bodyCallers, Write: func(w io.Writer, _ int, complete bool) error {
		return crowd.WriteLength(w, callHead(statusPath, "application/proto"), make([]byte, callBytes), complete, callBytes, 0)
	}},
	{Name: "parts of headers", Callers: headerCallers, Write: func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, callHead(statusPath, "application/proto", crowd.LongField(10*headerBytes)))
		return err
	}},
	{Name: "HTTP/2 headers", Callers: streamCallers, Write: func(w io.Writer, _ int, _ bool) error {
		long := crowd.Field{Name: "x-long", Value: strings.Repeat("x", streamHeaderBytes)}
		return crowd.WriteHTTP2(w, streamsPerConnection, func(int) []crowd.Field { return streamFields(long) }, nil)
	}},
}

// TestOperatorCrowds guards against an entry that takes more memory than its settings allow, or stops serving, when many
// clients send requests that they don't finish to its listener of operators.
func TestOperatorCrowds(t *testing.T) {
	f := newFleet(t, false)
	for _, c := range operatorCrowds {
		t.Run(c.Name, func(t *testing.T) {
			f.restartEntry(t)
			f.requireService(t, "before the crowd")
			knownred.Report(t, f.runAt(t, c, f.OperatorURL(entryName), defaultMemory))
			f.requireService(t, "after the crowd")
			ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
			defer cancel()
			if err := f.AwaitReady(ctx, entryName); err != nil {
				t.Error(err)
			}
		})
	}
}

// run lets the crowd call the entry, and returns what is wrong with the entry meanwhile, or "".
func (f *fleet) run(t *testing.T, c crowd.Crowd, memory int64) string {
	t.Helper()
	return f.runAt(t, c, f.URL(entryName), memory)
}

// runAt does the same at one of the entry's listeners.
func (f *fleet) runAt(t *testing.T, c crowd.Crowd, url string, memory int64) string {
	t.Helper()
	_, host, _ := strings.Cut(url, "://")
	address := netip.MustParseAddrPort(host)
	used, err := c.Measure(crowd.Process(f.ID(entryName)), address)
	if err != nil || f.ID(entryName) == 0 {
		t.Fatalf("the entry ended: %v", err)
	}
	t.Logf("%d MB resident and %d descriptors at most", used.MemoryBytes>>20, used.Descriptors)
	var problems []string
	if used.MemoryBytes > memory {
		problems = append(problems, fmt.Sprintf("the entry took %d MB of memory, its settings allow %d MB", used.MemoryBytes>>20, memory>>20))
	}
	if used.Descriptors > defaultDescriptors {
		problems = append(problems, fmt.Sprintf("the entry had %d descriptors open, its settings allow %d", used.Descriptors, defaultDescriptors))
	}
	return strings.Join(problems, "; ")
}
