// Package bytesize parses and formats byte sizes with units, such as "64MiB", for
// settings files.
package bytesize

import (
	"fmt"
	"strconv"
	"strings"
)

// Bytes is a number of bytes. Settings for rates use it for bytes per second.
type Bytes int64

// Common units.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a non-negative 32-bit
// integer followed by the unit B, KiB, MiB or GiB.
func (b *Bytes) UnmarshalText(text []byte) error {
	units := []struct {
		suffix string
		factor Bytes
	}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}
	for _, unit := range units {
		digits, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		amount, err := strconv.ParseInt(digits, 10, 32)
		if err != nil || amount < 0 {
			break
		}
		*b = Bytes(amount) * unit.factor
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit, such as \"64MiB\"", text)
}

// MarshalText implements encoding.TextMarshaler. It uses the largest unit that divides
// the size without remainder.
func (b Bytes) MarshalText() ([]byte, error) {
	switch {
	case b > 0 && b%GiB == 0:
		return fmt.Appendf(nil, "%dGiB", b/GiB), nil
	case b > 0 && b%MiB == 0:
		return fmt.Appendf(nil, "%dMiB", b/MiB), nil
	case b > 0 && b%KiB == 0:
		return fmt.Appendf(nil, "%dKiB", b/KiB), nil
	default:
		return fmt.Appendf(nil, "%dB", b), nil
	}
}
