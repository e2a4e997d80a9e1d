package demo

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// residentMetric is the metric of a process with its resident memory in bytes.
const residentMetric = "process_resident_memory_bytes "

// memoryFigure is one line of the demo's figures.
type memoryFigure struct {
	Figure       string  `json:"figure"`
	Name         string  `json:"name"`
	Items        int     `json:"items"`
	BytesPerItem float64 `json:"bytesPerItem"`
}

// readMemory notes the largest resident memory of the entries and of the agents
// beside services, which hold no chunks.
func (d *Demo) readMemory() error {
	for _, entry := range d.cluster.entries {
		if err := d.noteMemory(entry, &d.report.entryMemory); err != nil {
			return err
		}
	}
	for _, agent := range d.cluster.agents {
		if agent.instance.Pool != d.Site.Service {
			continue
		}
		if err := d.noteMemory(agent, &d.report.agentMemory); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) noteMemory(running *node, largest *float64) error {
	status, text, err := d.cluster.call("GET", "http://"+running.admin+"/metrics", nil)
	if err != nil || status != 200 {
		return errors.Wrapf(err, "metrics of %s: status %d", running.instance.Name, status)
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, residentMetric)
		if !found {
			continue
		}
		bytes, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return errors.Wrapf(err, "metrics of %s", running.instance.Name)
		}
		*largest = max(*largest, bytes)
	}
	return nil
}

// writeFigures prints the figures as JSON objects, one a line.
func (d *Demo) writeFigures() error {
	for _, figure := range []memoryFigure{
		{Figure: "memory", Name: "residentEntry", Items: 1, BytesPerItem: d.report.entryMemory},
		{Figure: "memory", Name: "residentAgent", Items: 1, BytesPerItem: d.report.agentMemory},
	} {
		text, err := json.Marshal(figure)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(d.Out, string(text)); err != nil {
			return err
		}
	}
	return nil
}
