// Package capacity estimates the resources that each role needs at the planned
// size by extrapolating measurements. Its output is the page docs/CAPACITY.md.
package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Measurement is one line of the output of "make bench". Kind selects the
// fields that are set.
type Measurement struct {
	Kind   string `json:"figure"`
	Name   string `json:"name"`
	Policy string `json:"policy"`

	Processes                      float64 `json:"processes"`
	Zones                          float64 `json:"zones"`
	PropagationSeconds             float64 `json:"secondsToEverywhere"`
	StoreReadsPerSecond            float64 `json:"storeReadsPerSecond"`
	StoreWritesPerSecond           float64 `json:"storeWritesPerSecond"`
	LeafBytesPerSecond             float64 `json:"leafBytesPerSecond"`
	RelayBytesPerSecond            float64 `json:"relayBytesPerSecond"`
	ReaderBytesPerSecond           float64 `json:"readerBytesPerSecond"`
	MaxCallsPerSecond              float64 `json:"worstCallsPerSecond"`
	StoreReadsAfterOutagePerSecond float64 `json:"storeReadsAfterOutagePerSecond"`

	Keys          float64 `json:"keys"`
	BytesPerKey   float64 `json:"bytesPerKey"`
	TakeoverReads float64 `json:"takeoverReads"`
	HeapBytes     float64 `json:"heapBytes"`

	Nanoseconds  float64 `json:"nanoseconds"`
	BytesPerItem float64 `json:"bytesPerItem"`

	Instances                  float64 `json:"instances"`
	Regions                    float64 `json:"regions"`
	Faults                     bool    `json:"faults"`
	Chunks                     float64 `json:"chunks"`
	RolloutSeconds             float64 `json:"replicaSecondsAll"`
	LowerBoundRatio            float64 `json:"floorRatio"`
	OriginCopies               float64 `json:"originCopies"`
	InterRegionCopies          float64 `json:"interRegionCopies"`
	LiveDelayP99Milliseconds   float64 `json:"liveDelayMillisecondsP99"`
	ControlMessagesPerInstance float64 `json:"controlMessagesPerInstance"`
	ThinLinkUtilization        float64 `json:"thinShareUsed"`
	RateLimited                bool    `json:"paced"`
	LinkDelayP99Milliseconds   float64 `json:"linkDelayMillisecondsP99"`
}

// Parse returns the measurements in data, which has one JSON object per line.
func Parse(data []byte) ([]Measurement, error) {
	var measurements []Measurement
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var measurement Measurement
		if err := json.Unmarshal(scanner.Bytes(), &measurement); err != nil {
			return nil, errors.Wrapf(err, "measurement %d", len(measurements)+1)
		}
		measurements = append(measurements, measurement)
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "read measurements")
	}
	return measurements, nil
}

// linearFit is a straight line fitted to measured points.
type linearFit struct {
	intercept float64
	slope     float64
	// minSize and maxSize are the smallest and the largest measured size.
	minSize float64
	maxSize float64
}

func (l linearFit) estimate(size float64) float64 { return l.intercept + l.slope*size }

// point is a value measured at a size.
type point struct {
	size  float64
	value float64
}

// fitLine returns the least squares line through the points. If its slope would
// be negative, it is flat at the mean, since no load falls as the size grows.
func fitLine(points []point) linearFit {
	var n, sumX, sumY, sumXX, sumXY float64
	fitted := linearFit{}
	for index, p := range points {
		if index == 0 {
			fitted.minSize = p.size
		}
		fitted.minSize, fitted.maxSize = min(fitted.minSize, p.size), max(fitted.maxSize, p.size)
		n++
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		fitted.slope = (n*sumXY - sumX*sumY) / denominator
	}
	fitted.slope = max(0, fitted.slope)
	if n > 0 {
		fitted.intercept = (sumY - fitted.slope*sumX) / n
	}
	return fitted
}
