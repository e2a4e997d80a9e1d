package upstream_test

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/upstream"
)

// Connection headers, the headers that Connection lists, and internal headers are not
// forwarded.
func ExampleEndToEnd() {
	header := &fasthttp.RequestHeader{}
	header.Set("Authorization", "Bearer aya")
	header.Set("Connection", "X-Hop")
	header.Set("X-Hop", "1")
	header.Set("Mimosaward-Workspace", "aso-care")
	for _, forwarded := range upstream.EndToEnd(header.All()) {
		fmt.Println(forwarded.Name, forwarded.Value)
	}
	// Output:
	// Authorization Bearer aya
}
