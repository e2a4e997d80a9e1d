// Package weights owns weight sets: manifests, content-addressed chunks and the
// memory that holds them. Nothing leaves the package as a whole set before
// every byte of it was verified. It does no network I/O.
package weights

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Digest is a SHA-256 digest. It names a chunk or a manifest.
type Digest [sha256.Size]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest reads 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	err := digest.UnmarshalText([]byte(text))
	return digest, err
}

// String returns 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest names nothing.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText writes 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Newf("%q is not a SHA-256 digest", text)
	}
	copy(d[:], decoded)
	return nil
}
