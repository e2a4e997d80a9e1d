// Package rawjson splits JSON texts into the texts of their members and elements without
// decoding these, so that a part that cannot be decoded does not affect the others. A part may
// be malformed as long as its brackets and strings are closed, and nested to any depth.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

var errMalformed = errors.New("malformed JSON")

// Members returns the texts of the members of an object by key. Of a key that occurs more than
// once, the last member counts. It returns nil if the text is null.
func Members(text []byte) (map[string]json.RawMessage, error) {
	text = bytes.TrimSpace(text)
	if string(text) == "null" {
		return nil, nil
	}
	members := map[string]json.RawMessage{}
	err := split(text, '{', '}', func(item []byte) error {
		length := stringLength(item)
		if length == 0 {
			return errMalformed
		}
		var key string
		if err := json.Unmarshal(item[:length], &key); err != nil {
			return errMalformed
		}
		value, found := bytes.CutPrefix(bytes.TrimSpace(item[length:]), []byte{':'})
		value = bytes.TrimSpace(value)
		if !found || len(value) == 0 {
			return errMalformed
		}
		members[key] = value
		return nil
	})
	return members, err
}

// Elements returns the texts of the elements of an array. It returns nil if the text is null.
func Elements(text []byte) ([]json.RawMessage, error) {
	text = bytes.TrimSpace(text)
	if string(text) == "null" {
		return nil, nil
	}
	elements := []json.RawMessage{}
	err := split(text, '[', ']', func(item []byte) error {
		elements = append(elements, item)
		return nil
	})
	return elements, err
}

// split calls visit with each of the items, separated by commas, between an opening bracket at
// the start of the text and the closing one at its end.
func split(text []byte, opening, closing byte, visit func(item []byte) error) error {
	if len(text) < 2 || text[0] != opening || text[len(text)-1] != closing {
		return errMalformed
	}
	content := bytes.TrimSpace(text[1 : len(text)-1])
	for more := len(content) > 0; more; {
		length, err := itemLength(content)
		if err != nil {
			return err
		}
		item := bytes.TrimSpace(content[:length])
		if len(item) == 0 {
			return errMalformed
		}
		if err := visit(item); err != nil {
			return err
		}
		if more = length < len(content); more {
			content = content[length+1:]
		}
	}
	return nil
}

// itemLength returns the number of bytes before the first comma outside of brackets and strings.
func itemLength(text []byte) (int, error) {
	depth := 0
	for index := 0; index < len(text); index++ {
		switch text[index] {
		case '"':
			length := stringLength(text[index:])
			if length == 0 {
				return 0, errMalformed
			}
			index += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return 0, errMalformed
			}
		case ',':
			if depth == 0 {
				return index, nil
			}
		}
	}
	if depth > 0 {
		return 0, errMalformed
	}
	return len(text), nil
}

// stringLength returns the length of the string at the start of the text with its quotes, or 0
// if the text does not start with a complete string.
func stringLength(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for index := 1; index < len(text); index++ {
		switch text[index] {
		case '\\':
			index++
		case '"':
			return index + 1
		}
	}
	return 0
}
