package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/modules/certificate"
)

// certsCommand creates peer certificates for trying out crocusline.
type certsCommand struct {
	dir       string
	name      string
	addresses []string
	validity  time.Duration
}

func newCertsCommand() *certsCommand {
	return &certsCommand{name: "crocusline", validity: 30 * 24 * time.Hour}
}

func (c *certsCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("certs")
	sub.Description = "Create a certificate authority and a peer certificate, for trying out crocusline."
	sub.AddPositionalValue(&c.dir, "directory", 1, true, "where ca.pem, peer.pem and peer.key are written")
	sub.String(&c.name, "", "name", "common name in the certificate")
	sub.StringSlice(&c.addresses, "", "address", "IP address in the certificate; may be repeated")
	sub.Duration(&c.validity, "", "validity", "how long the certificates are valid")
	sub.AdditionalHelpAppend = "\n  The authority's key is not stored: each run creates a new authority, so all\n" +
		"  processes need the files of the same run. Deployments use their own certificates."
	return sub
}

func (c *certsCommand) run(_ context.Context, con console) error {
	var addresses []netip.Addr
	for _, text := range c.addresses {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return usagef("--address %s is not an IP address", text)
		}
		addresses = append(addresses, address)
	}
	now := time.Now()
	authority, err := certificate.NewAuthority(now, c.validity)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(now, c.name, addresses...)
	if err != nil {
		return err
	}
	if err := certificate.WriteFiles(c.dir, authority, pair); err != nil {
		return err
	}
	fmt.Fprintf(con.out, "wrote ca.pem, peer.pem and peer.key to %s, valid until %s\n",
		c.dir, now.Add(c.validity).UTC().Format(time.RFC3339))
	return nil
}
