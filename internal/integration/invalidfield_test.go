package integration

import (
	"fmt"
	"testing"
)

// invalidNameBytes are the bytes of ASCII that no field name may contain, and one beyond ASCII. A
// colon ends the name, and a line break the line.
func invalidNameBytes() []byte {
	invalid := []byte("\x7f\"(),/;<=>?@[\\]{}\x80")
	for b := byte(0); b <= ' '; b++ {
		if b != '\n' {
			invalid = append(invalid, b)
		}
	}
	return invalid
}

// Guards against an answer of an endpoint in trouble in whose head a field name contains a blank
// or another invalid byte: the caller got that line, or a body that ended at a length that was none.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	lines := []string{
		"X-Other : v", "X-Other\t: v", " X-Other: v", "\tX-Other: v", "\x00X-Other: v", "X-Other\x00: v", "X-Other\r: v", " folded", ": v", "X-Other", "X\nOther: v",
		"Content-Length : 4", "Content-Length\t: 4", " Content-Length: 4", "Content-Length\x00: 4", "Transfer-Encoding : chunked", "Connection : close", "Content-Type : text/html",
	}
	for name, form := range answerForms {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				for _, b := range invalidNameBytes() {
					line := "X" + string([]byte{b}) + "Other: v"
					i.expectNoAnswer(t, fmt.Sprintf("%q", line), form, func(answer string) string { return addFirstField(answer, line) })
				}
				for _, line := range lines {
					i.expectNoAnswer(t, fmt.Sprintf("%q first", line), form, func(answer string) string { return addFirstField(answer, line) })
					i.expectNoAnswer(t, fmt.Sprintf("%q last", line), form, func(answer string) string { return addLastField(answer, line) })
				}
				i.expectNoAnswer(t, "interim response", form, func(answer string) string { return "HTTP/1.1 100 Continue\r\nX Other: v\r\n\r\n" + answer })
				i.expectSoundAnswer(t, form)
			})
		})
	}
}
