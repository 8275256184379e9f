package relay_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// TestEvidenceLogged checks that the log says on which evidence a send counts as not run.
func TestEvidenceLogged(t *testing.T) {
	for name, want := range map[string]string{
		"shed": "evidence=serverStatement status=503 reused=false", "misdirected": "evidence=serverMisdirected status=421 reused=false",
		"closed": "evidence=notConnected error=",
	} {
		t.Run(name, func(t *testing.T) {
			first, other := site.NewServer("s1", 0, site.Shed), site.NewServer("s2", 0)
			switch name {
			case "misdirected":
				first.Behave(site.Misdirect)
			case "closed":
				first.Close()
			}
			env := newTestEnv(t, nil, first, other)
			client := exchange.New()
			defer func() { _ = client.Close() }()
			var lines bytes.Buffer
			log := hclog.New(&hclog.LoggerOptions{Output: &lines, Level: hclog.Info})
			env.relay = relay.New(log, platform.HeaderCodec{}, env.catalog, fakeBudget{}, client)
			if _, err := env.send(t.Context(), "/once/a"); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(lines.String(), want) {
				t.Errorf("got %s, want %s", lines.String(), want)
			}
		})
	}
}
