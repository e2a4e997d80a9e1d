// Package weights implements weight sets: manifests, content-addressed chunks and the
// in-memory chunk store. The package returns a complete set only after every byte of
// it was verified. It does no network I/O.
package weights

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Digest is a SHA-256 digest. It identifies a chunk or a manifest.
type Digest [sha256.Size]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest parses a digest of 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	err := digest.UnmarshalText([]byte(text))
	return digest, err
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether d is the zero digest, which identifies nothing.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText implements encoding.TextMarshaler. The text is 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It expects 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Newf("%q is not a SHA-256 digest", text)
	}
	copy(d[:], decoded)
	return nil
}
