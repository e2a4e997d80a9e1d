package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaward/mimosaward/internal/diagnostic"
	"github.com/mimosaward/mimosaward/internal/strictjson"
)

// load decodes file into target and validates it: first by the check tags of the
// fields, then with crossCheck, which checks combinations of fields. The error
// contains every finding.
func load(file string, target any, crossCheck func(*checker)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return parse(file, text, target, crossCheck)
}

// parse is load for a file whose content is text.
func parse(file string, text []byte, target any, crossCheck func(*checker)) error {
	var findings diagnostic.List
	document := strictjson.Parse(file, text, &findings)
	if document.Valid() {
		document.Decode(target)
		c := &checker{file: file, document: document, findings: &findings}
		c.checkStruct("", reflect.ValueOf(target).Elem())
		crossCheck(c)
	}
	return findings.Err()
}

// checker validates a settings file and collects the findings.
type checker struct {
	file     string
	document *strictjson.Document
	findings *diagnostic.List
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.Add(diagnostic.New(c.file, c.document.Line(path), path, fmt.Sprintf(format, args...)))
}

// checkStruct applies the check tags of every field, depth first.
func (c *checker) checkStruct(path string, value reflect.Value) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		fieldPath := strings.TrimPrefix(path+"."+field.Tag.Get("json"), ".")
		if value.Field(index).Kind() == reflect.Struct {
			c.checkStruct(fieldPath, value.Field(index))
			continue
		}
		for rule := range strings.SplitSeq(field.Tag.Get("check"), ",") {
			c.checkRule(rule, fieldPath, value.Field(index))
		}
	}
}

// checkRule applies one rule of a check tag to the value at path.
func (c *checker) checkRule(rule, path string, value reflect.Value) {
	switch rule {
	case "required":
		if value.IsZero() {
			c.add(path, "must not be empty")
		}
	case "positive":
		if value.Int() <= 0 {
			c.add(path, "must be above zero")
		}
	case "address":
		if _, err := netip.ParseAddrPort(value.String()); err != nil {
			c.add(path, "%q is not an IP address with a port, such as \"10.0.0.5:8100\"", value.String())
		}
	case "url":
		c.checkURL(path, value.String())
	case "logFormat":
		if value.String() != "json" && value.String() != "text" {
			c.add(path, "%q is neither \"json\" nor \"text\"", value.String())
		}
	case "logLevel":
		if _, err := logrus.ParseLevel(value.String()); err != nil {
			c.add(path, "%q is not a log level", value.String())
		}
	}
}

func (c *checker) checkURL(path, text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		c.add(path, "%q is not an http URL", text)
	}
}

// checkDistinct reports addresses that occur more than once. The arguments alternate
// between path and address.
func (c *checker) checkDistinct(pathsAndAddresses ...string) {
	seen := map[string]string{}
	for index := 0; index+1 < len(pathsAndAddresses); index += 2 {
		path, address := pathsAndAddresses[index], pathsAndAddresses[index+1]
		if first, duplicate := seen[address]; duplicate && address != "" {
			c.add(path, "conflicts with %s, which has the same address %s", first, address)
		}
		seen[address] = path
	}
}
