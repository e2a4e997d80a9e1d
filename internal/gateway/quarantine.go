package gateway

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

const reasonQuarantined = dispatch.Reason("promptQuarantined")

// newQuarantine returns the quarantine of requests and prompt parts, which logs its decisions.
func (g *Gateway) newQuarantine() *quarantine.Quarantine {
	return &quarantine.Quarantine{
		Self: g.self.Name, Gateways: g.aliveGateways, OnRejected: g.logPartRejected,
		OnEnded: func(part string) { g.Log.Emit(event.PartAdmitted, event.Fields{"part": part}) },
		OnTrial: func(part string) { g.Log.Emit(event.PartTried, event.Fields{"part": part}) },
	}
}

func (g *Gateway) aliveGateways() []string {
	var names []string
	for _, peer := range g.peerTable.Alive() {
		names = append(names, peer.Digest.Member.Name)
	}
	return names
}

// logPartRejected logs the rejection of a part with the crashes that it is based on.
func (g *Gateway) logPartRejected(decision quarantine.Decision) {
	var endpoints, reporters []string
	var ages []int64
	for _, crash := range decision.Crashes {
		endpoints, reporters, ages = append(endpoints, crash.Endpoint), append(reporters, crash.Reporter), append(ages, crash.Age.Milliseconds())
	}
	g.Log.Emit(event.PartRejected, event.Fields{
		"part": decision.Part, "strikes": decision.Strikes, "until": decision.Until, "by": decision.By,
		"endpoints": endpoints, "reporters": reporters, "agesMs": ages,
	})
}

// suspects returns what the request may have in common with others under which endpoints end:
// its fingerprint and its shared prompt parts.
func (r *request) suspects() []string {
	return append([]string{r.fingerprint}, r.clientRequest.Inference.SharedParts...)
}

// checkQuarantine returns a refusal if the request or one of its prompt parts is rejected. A
// request that is a trial is sent once.
func (r *request) checkQuarantine(attempts int) *refusal {
	if r.isTrial && attempts == 0 {
		return nil
	}
	_, remaining, trial := r.gateway.quarantine.Rejected(r.suspects(), time.Now())
	if remaining > 0 {
		return notExecuted(reasonQuarantined, remaining)
	}
	r.isTrial = trial
	return nil
}
