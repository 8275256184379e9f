package notice

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// serverPrefix begins the keys of statements about servers, gatewayPrefix those of heartbeats.
const (
	serverPrefix  = "server/"
	gatewayPrefix = "gateway/"
)

// ServerKey returns the key of a statement's record.
func ServerKey(id string) string { return serverPrefix + id }

// GatewayKey returns the key of a gateway's heartbeat.
func GatewayKey(instance string) string { return gatewayPrefix + instance }

// ParseKey returns the id of the server, or the gateway, whose record has the key. The other one is
// empty.
func ParseKey(key string) (server, instance string) {
	if id, found := strings.CutPrefix(key, serverPrefix); found {
		return id, ""
	}
	instance, _ = strings.CutPrefix(key, gatewayPrefix)
	return "", instance
}

// statementRecord is the encoded form of a Statement.
type statementRecord struct {
	Started int64   `cbor:"1,keyasint"`
	Limit   float64 `cbor:"2,keyasint"`
}

// ParseStatement decodes a statement about the server.
func ParseStatement(id string, data []byte) (Statement, error) {
	var r statementRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Statement{}, errors.Wrap(err, "decode statement")
	}
	if !(r.Limit > 0) {
		return Statement{}, errors.Errorf("decode statement: the limit is %g requests per second", r.Limit)
	}
	return Statement{ID: id, Started: r.Started, Limit: r.Limit}, nil
}

// Encode encodes the statement for the store. The end of a limit has no record.
func (s Statement) Encode() ([]byte, error) {
	if s.Limit == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(statementRecord{Started: s.Started, Limit: s.Limit})
	return data, errors.Wrap(err, "encode statement")
}
