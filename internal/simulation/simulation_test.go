package simulation_test

import (
	"flag"
	"fmt"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/simulation"
)

var (
	table = flag.Bool("table", false, "print a table of all patterns")
	only  = flag.String("only", "", "regular expression for the sites and patterns of the table")
	seed  = flag.Uint64("seed", 1, "seed of the runs in the table")
)

func runSimulation(t *testing.T, site simulation.Site, pattern simulation.Pattern, seed uint64) (result simulation.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run := &simulation.Run{Site: site, Pattern: pattern, Seed: seed}
		result = run.Execute(t.Context())
	})
	return result
}

func TestTable(t *testing.T) {
	if !*table {
		t.Skip("runs only with -table")
	}
	selected := regexp.MustCompile(*only)
	for _, site := range []simulation.Site{simulation.CurrentSite(), simulation.GrownSite(), simulation.LargeSite()} {
		for _, pattern := range simulation.Patterns() {
			if !selected.MatchString(site.Name + " " + pattern.Name) {
				continue
			}
			r := runSimulation(t, site, pattern, *seed)
			fmt.Printf("%-6s %-26s score %.3f earned %.3f worst windows %.2f worst kind %.2f large %.2f repeated refusals %.3f in time %.3f late %.3f slow %.3f refused %.3f failed %.3f p50 %4d p95 %4d\n",
				r.Site, r.Pattern, r.Score, r.EarnedShare, r.WorstWindowsShare, r.WorstKindShare, r.LargeShare, r.RepeatRefusalCost, r.InTimeShare, r.LateShare, r.SlowShare, r.RefusedShare, r.FailedShare,
				r.FirstEventP50/time.Millisecond, r.FirstEventP95/time.Millisecond)
		}
	}
}

const (
	// maxSlowShare is the highest allowed share of late first tokens. The users require 95%
	// of them in time.
	maxSlowShare = 0.05
	// minLargeRatio is the lowest allowed ratio of the earned share of large requests to that
	// of all requests. It is the users' acceptance threshold.
	minLargeRatio = 0.5
)

// patternNamed returns the pattern with the given name and duration.
func patternNamed(t *testing.T, name string, duration time.Duration) simulation.Pattern {
	t.Helper()
	for _, pattern := range simulation.Patterns() {
		if pattern.Name == name {
			pattern.Duration = duration
			return pattern
		}
	}
	t.Fatalf("pattern %q does not exist", name)
	return simulation.Pattern{}
}

// Guards against late responses and refusals below the engines' capacity, when many gateways
// send to the same engines, each with an outdated view of its peers' load.
func TestManyGatewaysAtBaseLoad(t *testing.T) {
	r := runSimulation(t, simulation.GrownSite(), patternNamed(t, "steady", 4*time.Second), 1)
	if r.SlowShare > maxSlowShare || r.RefusedShare > maxSlowShare {
		t.Errorf("%.3f of the callers were slow and %.3f refused, want at most %.2f of each", r.SlowShare, r.RefusedShare, maxSlowShare)
	}
}

// Near the engines' capacity, all gateways learn of a freed slot at the same time. If all of
// them with queued requests send there, the accepted requests are answered late.
func TestFreedSlotHerd(t *testing.T) {
	r := runSimulation(t, simulation.GrownSite(), patternNamed(t, "heavy", 5*time.Second), 1)
	if r.SlowShare > maxSlowShare {
		t.Errorf("%.3f of the accepted callers were answered late, want at most %.2f", r.SlowShare, maxSlowShare)
	}
}

// During a load spike, accepted requests are answered in time, and large requests are not
// refused because of their size.
func TestLoadSpike(t *testing.T) {
	for _, site := range []simulation.Site{simulation.CurrentSite(), simulation.GrownSite()} {
		r := runSimulation(t, site, patternNamed(t, "everyone at once", 7*time.Second), 1)
		if r.SlowShare > maxSlowShare || r.LargeShare < minLargeRatio*r.EarnedShare {
			t.Errorf("%s: %.3f of the accepted callers were answered late, the large requests earned a share of %.2f and all requests %.2f", site.Name, r.SlowShare, r.LargeShare, r.EarnedShare)
		}
	}
}

// When the engines of a zone are out of service, its gateways use engines in other zones.
func TestZoneLeavesUnderLoad(t *testing.T) {
	r := runSimulation(t, simulation.CurrentSite(), patternNamed(t, "a zone leaves", 10*time.Second), 1)
	if r.SlowShare > maxSlowShare || r.LargeShare < minLargeRatio*r.EarnedShare {
		t.Errorf("%.3f of the accepted callers were answered late, the large requests earned a share of %.2f and all requests %.2f", r.SlowShare, r.LargeShare, r.EarnedShare)
	}
}

// In a fleet of several cells, a gateway knows the load of few endpoints; requests that its
// own cell cannot serve must still find the free endpoints of other cells.
func TestCellsOfLargeFleet(t *testing.T) {
	for _, name := range []string{"steady", "a zone leaves", "one zone at once"} {
		r := runSimulation(t, simulation.LargeSite(), patternNamed(t, name, 5*time.Second), 1)
		if r.SlowShare > maxSlowShare || r.RefusedShare > maxSlowShare {
			t.Errorf("%s: %.3f of the callers were slow and %.3f refused, want at most %.2f of each", name, r.SlowShare, r.RefusedShare, maxSlowShare)
		}
	}
}

// smallSiteWithCells returns a fleet that is just large enough for cells, at the load of the
// large one.
func smallSiteWithCells() simulation.Site {
	site := simulation.LargeSite()
	site.Name, site.Gateways, site.Engines = "cells", []int{5, 5, 4, 4, 4}, []int{8, 8, 8, 8, 8}
	for index := range site.Kinds {
		site.Kinds[index].Rate /= 5
	}
	return site
}

// Guards against callers that leave, repeat or cancel while another cell is asked: each job
// is granted or refused, and what was granted to a caller that left is released.
func TestCallersLeaveFleetWithCells(t *testing.T) {
	asking := 0
	for _, pattern := range simulation.Patterns() {
		pattern.Duration = 4 * time.Second
		r := runSimulation(t, smallSiteWithCells(), pattern, 1)
		if r.Left == 0 || r.Unreleased != 0 {
			t.Errorf("%s: %d attempts left by their callers, %d jobs never released; want some and none", r.Pattern, r.Left, r.Unreleased)
		}
		asking += r.LeftAsking
	}
	if asking == 0 {
		t.Error("no caller left while another cell was asked")
	}
}
