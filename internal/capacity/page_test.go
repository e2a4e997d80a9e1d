package capacity_test

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/capacity"
)

func TestPageMatchesMeasurements(t *testing.T) {
	data, err := os.ReadFile("../../docs/measurements.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	measurements, err := capacity.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(capacity.Page(measurements), string(page)); diff != "" {
		t.Errorf("docs/CAPACITY.md differs from the measurements, run \"make capacity\" (-want +got):\n%s", diff)
	}
}
