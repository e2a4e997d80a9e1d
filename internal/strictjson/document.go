// Package strictjson decodes JSON documents strictly. It reports unknown,
// duplicate, missing and wrongly typed members, all in one pass, with the line
// and key path of each. It does not validate the values of a document beyond
// their types.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/mimosaward/mimosaward/internal/diagnostic"
)

// Document is a parsed JSON text with the line number of every value.
type Document struct {
	file     string
	text     []byte
	root     *node
	findings *diagnostic.List
}

// node is one JSON value: an object with members, an array with elements, or a
// scalar with its decoded token.
type node struct {
	line     int
	path     string
	members  []member
	elements []*node
	scalar   json.Token
	isArray  bool
	isObject bool
}

// member is a key of an object and its value. Its line is the line of the key.
type member struct {
	key   string
	line  int
	value *node
}

// Parse parses text and adds syntax errors and duplicate keys to findings, with
// file as their file name.
func Parse(file string, text []byte, findings *diagnostic.List) *Document {
	document := &Document{file: file, text: text, findings: findings}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	root, err := document.parseValue(decoder, "")
	if err != nil {
		document.report(document.lineAt(decoder.InputOffset()), "", fmt.Sprintf("not valid JSON: %v", err))
		return document
	}
	document.root = root
	if trailing := bytes.TrimSpace(text[decoder.InputOffset():]); len(trailing) > 0 {
		document.report(document.lineAt(decoder.InputOffset()), "", "unexpected text after the end of the JSON value")
	}
	return document
}

// Valid reports whether the text starts with a syntactically valid JSON value, so
// that its values can be checked.
func (d *Document) Valid() bool { return d.root != nil }

// Line returns the line of the value at path. If the document has no such value, it
// returns the line of the innermost enclosing value that exists.
func (d *Document) Line(path string) int {
	for {
		if line := lineOfPath(d.root, path); line > 0 || path == "" {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// lineOfPath returns the line of the value at path in the tree under n, or 0 if there
// is no such value.
func lineOfPath(n *node, path string) int {
	if n == nil {
		return 0
	}
	if n.path == path {
		return n.line
	}
	for _, m := range n.members {
		if strings.HasPrefix(path, m.value.path) {
			if line := lineOfPath(m.value, path); line > 0 {
				return line
			}
		}
	}
	for _, element := range n.elements {
		if line := lineOfPath(element, path); line > 0 {
			return line
		}
	}
	return 0
}

func (d *Document) report(line int, path, problem string) {
	d.findings.Add(diagnostic.New(d.file, line, path, problem))
}

// lineAt returns the line of the first byte at or after offset that is not white
// space, a comma or a colon.
func (d *Document) lineAt(offset int64) int {
	index := int(min(offset, int64(len(d.text))))
	for index < len(d.text) && strings.ContainsRune(" \t\r\n,:", rune(d.text[index])) {
		index++
	}
	return 1 + bytes.Count(d.text[:index], []byte{'\n'})
}

func (d *Document) parseValue(decoder *json.Decoder, path string) (*node, error) {
	line := d.lineAt(decoder.InputOffset())
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	n := &node{line: line, path: path}
	switch token {
	case json.Delim('{'):
		n.isObject = true
		return n, d.parseMembers(decoder, n)
	case json.Delim('['):
		n.isArray = true
		return n, d.parseElements(decoder, n)
	}
	n.scalar = token
	return n, nil
}

func (d *Document) parseMembers(decoder *json.Decoder, parent *node) error {
	seen := map[string]int{}
	for decoder.More() {
		line := d.lineAt(decoder.InputOffset())
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		value, err := d.parseValue(decoder, joinPath(parent.path, key))
		if err != nil {
			return err
		}
		if first, duplicate := seen[key]; duplicate {
			d.report(line, value.path, fmt.Sprintf("duplicate key, first given on line %d", first))
			continue
		}
		seen[key] = line
		parent.members = append(parent.members, member{key: key, line: line, value: value})
	}
	_, err := decoder.Token()
	return err
}

func (d *Document) parseElements(decoder *json.Decoder, parent *node) error {
	for decoder.More() {
		value, err := d.parseValue(decoder, fmt.Sprintf("%s[%d]", parent.path, len(parent.elements)))
		if err != nil {
			return err
		}
		parent.elements = append(parent.elements, value)
	}
	_, err := decoder.Token()
	return err
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
