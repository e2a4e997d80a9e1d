package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes the document into target, a pointer to a struct. Each exported field
// needs a json tag; fields without one are ignored. A `check:"required"` tag makes a
// member mandatory. Durations are strings such as "250ms". Problems are added to the
// findings passed to Parse.
func (d *Document) Decode(target any) {
	if d.root == nil {
		return
	}
	d.decodeValue(d.root, reflect.ValueOf(target).Elem())
}

func (d *Document) decodeValue(n *node, target reflect.Value) {
	switch {
	case target.Type() == durationType:
		d.decodeDuration(n, target)
	case target.Kind() != reflect.Pointer && target.Addr().Type().Implements(textUnmarshalerType):
		d.decodeText(n, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(n, target)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(n, target)
	default:
		d.decodeScalar(n, target)
	}
}

func (d *Document) decodeDuration(n *node, target reflect.Value) {
	text, ok := n.scalar.(string)
	if !ok {
		d.report(n.line, n.path, `expected a duration with a unit, such as "250ms"`)
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		d.report(n.line, n.path, fmt.Sprintf("%q is not a duration with a unit, such as \"250ms\"", text))
		return
	}
	target.SetInt(int64(value))
}

func (d *Document) decodeText(n *node, target reflect.Value) {
	text, ok := n.scalar.(string)
	if !ok {
		d.report(n.line, n.path, "expected a string")
		return
	}
	unmarshaler, _ := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		d.report(n.line, n.path, err.Error())
	}
}

func (d *Document) decodeStruct(n *node, target reflect.Value) {
	if !n.isObject {
		d.report(n.line, n.path, "expected an object")
		return
	}
	fields := fieldsByKey(target.Type())
	present := map[string]bool{}
	for _, m := range n.members {
		index, exists := fields[m.key]
		if !exists {
			d.report(m.line, m.value.path, "unknown key")
			continue
		}
		present[m.key] = true
		d.decodeValue(m.value, target.Field(index))
	}
	for index := range target.NumField() {
		field := target.Type().Field(index)
		key := keyName(field)
		if !present[key] && strings.Contains(field.Tag.Get("check"), "required") {
			d.report(n.line, joinPath(n.path, key), "required key is missing")
		}
	}
}

// fieldsByKey returns the index of each field of a struct type by its JSON key.
func fieldsByKey(structType reflect.Type) map[string]int {
	fields := map[string]int{}
	for index := range structType.NumField() {
		if key := keyName(structType.Field(index)); key != "" {
			fields[key] = index
		}
	}
	return fields
}

// keyName returns the JSON key of a field, or "" if it has no json tag.
func keyName(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

func (d *Document) decodeSlice(n *node, target reflect.Value) {
	if !n.isArray {
		d.report(n.line, n.path, "expected an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(n.elements), len(n.elements))
	for index, element := range n.elements {
		d.decodeValue(element, slice.Index(index))
	}
	target.Set(slice)
}

func (d *Document) decodeScalar(n *node, target reflect.Value) {
	if n.isArray || n.isObject || n.scalar == nil {
		d.report(n.line, n.path, fmt.Sprintf("expected a %s", jsonTypeName(target.Kind())))
		return
	}
	text, err := json.Marshal(n.scalar)
	if err == nil {
		err = json.Unmarshal(text, target.Addr().Interface())
	}
	if err != nil {
		d.report(n.line, n.path, fmt.Sprintf("expected a %s", jsonTypeName(target.Kind())))
	}
}

// jsonTypeName returns the name of the JSON type that a Go kind is decoded from.
func jsonTypeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}
