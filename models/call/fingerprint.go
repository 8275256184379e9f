package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the size of a fingerprint before its encoding.
const fingerprintBytes = 16

// Fingerprint identifies requests of the caller that ask for the same: equal in method, target and
// body. Those that a caller sends again have the same fingerprint under another id.
func (r *Request) Fingerprint(caller string) string {
	hash := sha256.New()
	for _, field := range []string{caller, r.Method, r.Host, r.Target, r.Model} {
		hash.Write(binary.AppendUvarint(nil, uint64(len(field))))
		hash.Write([]byte(field))
	}
	hash.Write(r.Body)
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
