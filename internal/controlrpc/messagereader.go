package controlrpc

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// messageReader passes on the messages of a gob stream. Each message begins with its length:
// before it is passed on, announce is called, since the decoder allocates memory for it at once.
type messageReader struct {
	reader *bufio.Reader
	// announce may refuse a message of a length.
	announce func(length int) error
	// progress is called when a part of a message has arrived.
	progress func()
	// prefix is what is left to pass on of the encoded length, and left of the message itself.
	prefix []byte
	left   int
	// err is the error after which nothing is passed on any more: the decoder would go on.
	err error
}

const (
	// maxShortLength is the largest length that is encoded in one byte. Any other one is preceded
	// by the negated number of its bytes, of which there are at most maxLengthBytes.
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// errInvalidLength terminates a connection whose peer sends something else than messages.
var errInvalidLength = errors.New("message has an invalid length")

// readLength reads the length of the next message.
func (m *messageReader) readLength() error {
	first, err := m.reader.ReadByte()
	if err != nil {
		return err
	}
	m.prefix = append(m.prefix[:0], first)
	length := uint64(first)
	if first > maxShortLength {
		count := -int(int8(first))
		if count > maxLengthBytes {
			return errInvalidLength
		}
		length = 0
		for range count {
			next, err := m.reader.ReadByte()
			if err != nil {
				return err
			}
			m.prefix = append(m.prefix, next)
			length = length<<8 | uint64(next)
		}
	}
	if length > maxMessageBytes {
		return errMessageTooLarge
	}
	m.left = int(length)
	return m.announce(m.left)
}

// Read implements io.Reader.
func (m *messageReader) Read(buffer []byte) (int, error) {
	if len(m.prefix) == 0 && m.left == 0 && m.err == nil && len(buffer) > 0 {
		m.err = m.readLength()
	}
	if m.err != nil || len(buffer) == 0 {
		return 0, m.err
	}
	if len(m.prefix) > 0 {
		n := copy(buffer, m.prefix)
		m.prefix = m.prefix[n:]
		return n, nil
	}
	n, err := m.reader.Read(buffer[:min(len(buffer), m.left)])
	m.left -= n
	if n > 0 {
		m.progress()
	}
	return n, err
}

// ReadByte implements io.ByteReader, so that the decoder reads no further than it needs.
func (m *messageReader) ReadByte() (byte, error) {
	var buffer [1]byte
	_, err := io.ReadFull(m, buffer[:])
	return buffer[0], err
}
