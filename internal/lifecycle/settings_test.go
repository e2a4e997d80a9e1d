package lifecycle

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the processes' settings.
const (
	gracePeriod = 8 * time.Second
	lossSlack   = 200 * time.Millisecond
	addressTTL  = 5 * time.Second
)

// Ports of a process, which are the same at every address.
const (
	storePort     = 8007
	originPort    = 8008
	callersPort   = 8005
	readyPort     = 8002
	controlPort   = 8000
	directoryPort = 8009
	endpointPort  = 9000
)

// settingsOf returns the content of a process's settings file. The variants differ in values
// that a running process applies or ignores.
func (s *site) settingsOf(d *daemon, variant int) string {
	var text strings.Builder
	quoted := func(values ...string) string { return `["` + strings.Join(values, `", "`) + `"]` }
	var seeds []string
	for _, host := range gatewayHosts {
		seeds = append(seeds, s.address(host, controlPort))
	}
	fmt.Fprintf(&text, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = %s\nip = %q\nzone = %q\nregion = %q\n",
		d.name, d.role, d.class(), quoted(d.interfaces()...), s.ip(d.host), zoneName, regionName)
	fmt.Fprintf(&text, "internal_ports = [7700, 7715]\nseeds = %s\nbootstrap = %t\nheartbeat_ms = %d\n", quoted(seeds...), variant == 0, 1200+variant%3)
	if d.role == roleLoader {
		fmt.Fprintf(&text, "app = %q\nservice = %q\n", s.address(d.host, endpointPort), engineService)
	}
	fmt.Fprintf(&text, "[zones]\n%s = %q\n[listen]\n", zoneName, regionName)
	if d.role == roleGateway {
		fmt.Fprintf(&text, "frontend = %q\nready = %q\ncontrol_plane = %q\ndirectory_addr = %q\n",
			s.address(d.host, callersPort), s.address(d.host, readyPort), s.address(d.host, controlPort), s.address(d.host, directoryPort))
	}
	fmt.Fprintf(&text, "[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4200\nlink_mbps = 1000.0\n")
	fmt.Fprintf(&text, "[bounds]\nreuse_after_s = 2\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = %d\nloss_slack_ms = %d\nconfig_apply_ms = 2000\n",
		int(gracePeriod.Seconds()), lossSlack.Milliseconds())
	fmt.Fprintf(&text, "retry_budget_ratio = %.2f\nretry_window_s = 10\nretry_slack = %d\ncold_overshoot = 1.5\ncold_tolerance = 5\n", 0.2+float64(variant%3)/100, 100+variant)
	fmt.Fprintf(&text, "evacuate_ms = 5000\nevent_delay_ms = %d\nversion_ms = 8000\nttl_max_s = %d\n", 120+variant%5, int(addressTTL.Seconds()))
	fmt.Fprintf(&text, "[platform]\naddress = %q\nwrites_per_s = 400\nreads_per_s = 2000\nmax_value_bytes = 1048576\n", s.address(storeHost, storePort))
	return text.String()
}
