package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/mimosaward/mimosaward/internal/clientrequest"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// fingerprintBytes is the length of the hash in a fingerprint.
const fingerprintBytes = 16

// fingerprint identifies what a request asks for: requests have the same fingerprint if they
// have the same method, host, target, caller, prompt parts and body, which may consist of blocks. It is a cryptographic hash,
// so that callers cannot make a request that has the fingerprint of another one.
func fingerprint(request *clientrequest.Request, body ...[]byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [...]string{request.Method, request.Host, request.Target, request.APIKey, request.Inference.Prompt} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(field))
	}
	for _, block := range body {
		_, _ = hash.Write(block)
	}
	return quarantine.RequestPrefix + hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
