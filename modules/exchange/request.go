package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// framingFields are the header fields that the client itself writes.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeRequest writes the request. The target goes out as it is: http.Request.Write would send one
// that begins with two slashes, or that has bytes which url.URL encodes, in another form.
func writeRequest(w io.Writer, r *Request) error {
	if err := checkRequestLine(r); err != nil {
		return err
	}
	buffered := bufio.NewWriter(w)
	// The writer keeps the first error until Flush.
	_, _ = fmt.Fprintf(buffered, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.header().WriteSubset(buffered, framingFields)
	if len(r.Body) > 0 || hasBody(r.Method) {
		_, _ = buffered.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = buffered.WriteString("\r\n")
	_, _ = buffered.Write(r.Body)
	return errors.WithStack(buffered.Flush())
}

// hasBody reports whether requests with the method usually have a body, so that its absence is
// said.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// checkRequestLine returns an error if a part of the request line would end it or begin another
// part.
func checkRequestLine(r *Request) error {
	for _, part := range []string{r.Method, r.Target, r.Host} {
		if part == "" || strings.ContainsFunc(part, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			return errors.Errorf("request line with %q, %q and host %q can't be written", r.Method, r.Target, r.Host)
		}
	}
	return nil
}
