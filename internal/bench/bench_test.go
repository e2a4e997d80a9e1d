// Package bench measures the costs of hot paths, the propagation of tickets and the
// rollout of weights, and checks them against the required bounds. It prints one JSON
// object per measurement.
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
