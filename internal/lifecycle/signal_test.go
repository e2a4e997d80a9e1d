package lifecycle

import (
	"testing"
	"time"
)

// checkProcess fails the test if a process that has exited did not do so in order.
func checkProcess(t *testing.T, p *process) {
	t.Helper()
	for _, finding := range p.check() {
		t.Errorf("%s: %s", p.output, finding)
	}
}

// bothRoles runs a test with one daemon of each role.
func bothRoles(t *testing.T, test func(t *testing.T, d *daemon)) {
	for _, role := range []string{roleGateway, roleLoader} {
		t.Run(role, func(t *testing.T) {
			s := newSite(t)
			defer s.fakes.Wait()
			defer s.fakes.Stop()
			test(t, newDaemon(s, role, map[string]int{roleGateway: gatewayHosts[0], roleLoader: engineHosts[0]}[role]))
		})
	}
}

// startDaemon starts a daemon and waits until it handles signals.
func startDaemon(t *testing.T, d *daemon) *process {
	t.Helper()
	p := d.start()
	d.awaitReady()
	for deadline := time.Now().Add(readyTimeout); !p.printed("process started"); time.Sleep(readyPollInterval) {
		if p.exited() || time.Now().After(deadline) {
			t.Fatalf("%s did not start", p.output)
		}
	}
	return p
}

// The platform sends SIGHUP whenever the settings change, also while a process stops. The
// test guards against a SIGHUP that ends the process, and the requests in flight with it.
func TestHangUpDuringStop(t *testing.T) {
	bothRoles(t, func(t *testing.T, d *daemon) {
		p := startDaemon(t, d)
		p.terminate()
		for !p.waitExited(repeatInterval) && time.Since(p.startedAt) < killDelay {
			p.hangUp()
		}
		d.awaitExit(p)
		checkProcess(t, p)
	})
}

// The settings may change while a process starts. The test guards against a SIGHUP that
// ends the process before it has read its settings.
func TestHangUpDuringStart(t *testing.T) {
	bothRoles(t, func(t *testing.T, d *daemon) {
		p := d.startBlocked(func(p *process) {
			p.hangUp()
			time.Sleep(signalDeliveryTime)
		})
		d.awaitReady()
		if !p.exited() {
			d.stop()
		}
		checkProcess(t, p)
	})
}

// The test guards against a repeated SIGTERM that ends a stopping process before it has
// finished, at any moment until its exit.
func TestRepeatedStopSignal(t *testing.T) {
	bothRoles(t, func(t *testing.T, d *daemon) {
		p := startDaemon(t, d)
		p.terminateUntilExit()
		d.awaitExit(p)
		checkProcess(t, p)
	})
}
