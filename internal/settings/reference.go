package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Reference returns the settings reference, docs/settings.md, without the part about settings
// files of the users' platform.
func Reference() string {
	var page strings.Builder
	page.WriteString(referenceIntro)
	for _, program := range []struct {
		name     string
		defaults any
	}{
		{"mimosaward-entry", DefaultEntry()},
		{"mimosaward-agent", DefaultAgent()},
		{"mimosaward", Operator{}},
	} {
		fmt.Fprintf(&page, "\n## %s\n\n| key | required | default | meaning |\n| --- | --- | --- | --- |\n", program.name)
		writeRows(&page, "", reflect.ValueOf(program.defaults))
	}
	return page.String()
}

const referenceIntro = `# Settings

Settings of entries, agents and the command line are JSON files; those of gateways and
loaders follow at the end. JSON files are checked as a whole: unknown and duplicate keys,
missing keys, values without a unit and conflicting values are reported together,
each with file, line and key path. "mimosaward settings check --kind entry FILE"
checks a file without starting a program.

Durations are strings such as "250ms" or "30s", sizes are strings such as "64MiB",
and addresses consist of an IP address and a port.
`

// writeRows writes one table row for each key, depth first.
func writeRows(page *strings.Builder, path string, value reflect.Value) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		key := strings.TrimPrefix(path+"."+field.Tag.Get("json"), ".")
		if value.Field(index).Kind() == reflect.Struct {
			writeRows(page, key, value.Field(index))
			continue
		}
		required := ""
		if strings.Contains(field.Tag.Get("check"), "required") {
			required = "yes"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", key, required, formatDefault(value.Field(index)), field.Tag.Get("doc"))
	}
}

// formatDefault returns a default as Markdown code in the notation of settings files,
// or "" for a zero value.
func formatDefault(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	switch typed := value.Interface().(type) {
	case time.Duration:
		return "`" + typed.String() + "`"
	case encoding.TextMarshaler:
		text, err := typed.MarshalText()
		if err != nil {
			return ""
		}
		return "`" + string(text) + "`"
	default:
		return fmt.Sprintf("`%v`", typed)
	}
}
