package exchange_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// TestStatusOfNoResponse guards against messages whose status is outside of 200 to 599 and that pass for responses, also
// behind interim responses and ones to other requests.
func TestStatusOfNoResponse(t *testing.T) {
	const fields = "Content-Length: 4\r\n\r\nbody"
	for _, status := range []string{"000", "-00", "001", "099", "101", "600", "999"} {
		for _, before := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n", response("2", "other")} {
			for _, id := range []string{"1", "2"} {
				text := before + "HTTP/1.1 " + status + " \r\nRequest-Id: " + id + "\r\n" + fields + response("1", "next")
				s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
					if _, ok := readRequestID(requests); ok {
						_, _ = io.WriteString(conn, text)
					}
				})
				c := exchange.New()
				body, err := call(c, s.request("1"))
				var noResponse *exchange.NoResponseError
				var invalid *exchange.StatusError
				if !errors.As(err, &noResponse) || !noResponse.Written || !errors.As(err, &invalid) {
					t.Errorf("%q: got %q and %v, want no response of an unknown outcome", strings.ReplaceAll(text, "\r\n", " "), body, err)
				}
				_ = c.Close()
			}
		}
	}
}
