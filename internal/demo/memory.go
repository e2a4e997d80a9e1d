package demo

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// residentMemoryMetric is the name of the metric with the resident memory of a
// process in bytes.
const residentMemoryMetric = "process_resident_memory_bytes "

// memoryMeasurement is one line of the measurements of the demo.
type memoryMeasurement struct {
	Kind         string  `json:"figure"`
	Name         string  `json:"name"`
	Items        int     `json:"items"`
	BytesPerItem float64 `json:"bytesPerItem"`
}

// recordMemory records the largest resident memory of the entries and of the
// agents of services, which store no chunks.
func (d *Demo) recordMemory() error {
	for _, entry := range d.cluster.entries {
		if err := d.recordLargestMemory(entry, &d.report.entryMemory); err != nil {
			return err
		}
	}
	for _, agent := range d.cluster.agents {
		if agent.instance.Pool != d.Site.Service {
			continue
		}
		if err := d.recordLargestMemory(agent, &d.report.agentMemory); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) recordLargestMemory(n *node, largest *float64) error {
	status, text, err := d.cluster.call("GET", "http://"+n.adminAddress+"/metrics", nil)
	if err != nil || status != 200 {
		return errors.Wrapf(err, "metrics of %s: status %d", n.instance.Name, status)
	}
	for line := range strings.Lines(string(text)) {
		value, ok := strings.CutPrefix(line, residentMemoryMetric)
		if !ok {
			continue
		}
		bytes, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return errors.Wrapf(err, "metrics of %s", n.instance.Name)
		}
		*largest = max(*largest, bytes)
	}
	return nil
}

// writeMeasurements prints the measurements as JSON objects, one per line.
func (d *Demo) writeMeasurements() error {
	for _, measurement := range []memoryMeasurement{
		{Kind: "memory", Name: "residentEntry", Items: 1, BytesPerItem: d.report.entryMemory},
		{Kind: "memory", Name: "residentAgent", Items: 1, BytesPerItem: d.report.agentMemory},
	} {
		text, err := json.Marshal(measurement)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(d.Out, string(text)); err != nil {
			return err
		}
	}
	return nil
}
