package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
)

// conn is the result type of the Dial functions.
type conn = net.Conn

// printMeasurement prints a measurement as one line of JSON.
func printMeasurement(t *testing.T, measurement any) {
	t.Helper()
	text, err := json.Marshal(measurement)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(text))
}
