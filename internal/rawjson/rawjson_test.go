package rawjson_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/rawjson"
)

// compareText compares texts as a whole: some have 100,000 bytes.
var compareText = cmp.Comparer(func(a, b json.RawMessage) bool { return bytes.Equal(a, b) })

// Guards against a part that cannot be decoded making the others unreadable.
func TestPartsThatCannotBeDecoded(t *testing.T) {
	parts := []string{
		strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000), strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
		"1e400", "NaN", "-", "01", `"\q"`, "\"\x00\xff\"", `"]}\",{["`, "[}", "{,}", "{1:2}", "nul", strings.Repeat("9", 100_000),
	}
	for _, part := range parts {
		elements, err := rawjson.Elements([]byte(` [1, ` + part + "\n,{\"a\":2}]"))
		if diff := cmp.Diff([]json.RawMessage{[]byte("1"), []byte(part), []byte(`{"a":2}`)}, elements, compareText); err != nil || diff != "" {
			t.Errorf("elements with %.40s: error %v (-want +got):\n%.300s", part, err, diff)
		}
		members, err := rawjson.Members([]byte(`{"a" : 1,"b":` + part + `, "\u0063":[2] }`))
		if diff := cmp.Diff(map[string]json.RawMessage{"a": []byte("1"), "b": []byte(part), "c": []byte("[2]")}, members, compareText); err != nil || diff != "" {
			t.Errorf("members with %.40s: error %v (-want +got):\n%.300s", part, err, diff)
		}
	}
}

// Guards against a text that is cut off or not closed being taken for a shorter one.
func TestTextsThatAreNotClosed(t *testing.T) {
	for _, text := range []string{"", "[", "]", "{", "}", "[1", "1]", `["a]`, "[[1]", "[1]]", "[1,]", "[,1]", `{"a":1`, `{"a"}`, `{"a":}`, `{a:1}`, `{"a":1,}`, `{"a":1}}`, `"a"`, "1", "{]", "[}", `["\"]`, "nul"} {
		if elements, err := rawjson.Elements([]byte(text)); err == nil {
			t.Errorf("elements of %q: %q", text, elements)
		}
		if members, err := rawjson.Members([]byte(text)); err == nil {
			t.Errorf("members of %q: %q", text, members)
		}
	}
}

// Guards against texts that are split differently from how encoding/json decodes them.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{}`, `[]`, `null`, ` { "a" : [1,{"b":"]"}] , "a":null } `, `[1,"\"",[],{},"\\"]`, `{"\u0061":1}`, `[NaN]`, `{"a":[}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		members, memberErr := rawjson.Members(text)
		elements, elementErr := rawjson.Elements(text)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(text, &wantMembers) == nil {
			if diff := cmp.Diff(wantMembers, members); memberErr != nil || diff != "" {
				t.Errorf("members: error %v (-want +got):\n%s", memberErr, diff)
			}
		}
		var wantElements []json.RawMessage
		if json.Unmarshal(text, &wantElements) == nil {
			if diff := cmp.Diff(wantElements, elements); elementErr != nil || diff != "" {
				t.Errorf("elements: error %v (-want +got):\n%s", elementErr, diff)
			}
		}
	})
}
