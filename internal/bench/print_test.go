package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
)

// dialed is what a dial returns.
type dialed = net.Conn

// printFigure prints one figure as a JSON object on a line.
func printFigure(t *testing.T, figure any) {
	t.Helper()
	text, err := json.Marshal(figure)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(text))
}
