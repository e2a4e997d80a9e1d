package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
)

// dialed is the result type of the Dial functions.
type dialed = net.Conn

// printFigure prints a measurement as one line of JSON.
func printFigure(t *testing.T, figure any) {
	t.Helper()
	text, err := json.Marshal(figure)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(text))
}
