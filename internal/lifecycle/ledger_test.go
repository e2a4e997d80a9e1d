package lifecycle

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// schedulingSlack allows for the time from an event until the test notices it on a busy
	// machine.
	schedulingSlack = 500 * time.Millisecond
	// refusedSlack is how long before its exit is noticed a process may refuse connections.
	refusedSlack = time.Second
	// addressUse is how long after SIGTERM callers still connect to a gateway: its
	// directory's responses have a TTL of a second, and some callers keep them longer.
	addressUse = maxKeepFactor * time.Second
	// lateWindow is the part of the grace period at whose end the rules allow a gateway to
	// cut off requests that were sent within earlyWindow after SIGTERM.
	lateWindow  = gracePeriod / 6
	earlyWindow = 3 * time.Second
)

// ledger records the attempts of the callers and judges them.
type ledger struct {
	// faults is true if processes are killed or endpoints fail, so that requests may be lost.
	faults bool

	mu       sync.Mutex
	attempts []*attempt
	findings []string
	refused  []refusedConnection
	counts   map[string]int
	limits   []limitInterval
	// unread lists the attempts that got no response because no process read them.
	unread []*attempt
}

// refusedConnection is an attempt to connect that was refused.
type refusedConnection struct {
	process *process
	at      time.Time
}

// early reports whether the process refused the connection while it had to accept it.
func (r *refusedConnection) early() bool {
	stopAt, stopping := r.process.stopping()
	if stopping && r.at.After(stopAt.Add(addressUse)) {
		return false
	}
	return r.process.exitedAt.After(r.at.Add(refusedSlack))
}

func newLedger() *ledger { return &ledger{counts: map[string]int{}} }

func (l *ledger) addAttempt(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *ledger) addLimit(interval limitInterval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, interval)
}

func (l *ledger) addFinding(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, args...))
}

// addRefusedConnection records a refused connection unless the process is still starting.
func (l *ledger) addRefusedConnection(p *process) {
	if !p.ready.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = append(l.refused, refusedConnection{process: p, at: time.Now()})
}

// judge returns all findings, when all processes have exited.
func (l *ledger) judge(s *site) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := l.findings
	for _, d := range s.daemons() {
		for _, p := range d.processes {
			for _, finding := range p.check() {
				findings = append(findings, p.output+": "+finding)
			}
		}
	}
	for _, refused := range l.refused {
		if refused.early() {
			findings = append(findings, fmt.Sprintf("%s refused a connection %s after its start", refused.process.output, refused.at.Sub(refused.process.startedAt)))
		}
	}
	for _, endpoint := range s.endpoints {
		if endpoint.Engine != nil && endpoint.Engine.LoadedWrongChunks() {
			findings = append(findings, endpoint.ID+" loaded chunks that are not those of its version")
		}
	}
	for _, interval := range l.limits {
		findings = append(findings, interval.judge()...)
	}
	executions := s.executions()
	for _, a := range l.attempts {
		for _, finding := range l.judgeAttempt(a, executions[a.call.id]) {
			findings = append(findings, finding+": "+a.String()+describe(executions[a.call.id], a))
		}
	}
	return findings
}

// describe describes the executions of an attempt.
func describe(executions []platformtest.Execution, a *attempt) string {
	text := fmt.Sprintf(", %d runs", len(executions))
	for _, run := range executions {
		text += fmt.Sprintf(" from %dms to %dms", run.StartedAt.Sub(a.startedAt).Milliseconds(), run.EndedAt.Sub(a.startedAt).Milliseconds())
	}
	return text
}

// judgeAttempt returns what is wrong about an attempt.
func (l *ledger) judgeAttempt(a *attempt, runs []platformtest.Execution) []string {
	var findings []string
	if len(runs) > 1 && !a.call.idempotent {
		findings = append(findings, "ran more than once")
	}
	for _, run := range runs {
		if run.Body != string(a.call.body) {
			findings = append(findings, "ran with another body")
		}
	}
	if a.answeredID != "" && a.answeredID != a.call.id {
		findings = append(findings, "response to "+a.answeredID)
	}
	switch {
	case a.left:
		l.counts["left"]++
	case a.complete:
		findings = append(findings, l.judgeResponse(a, runs)...)
	case a.status == 0 || a.status == http.StatusOK:
		findings = append(findings, l.judgeLoss(a, runs)...)
	case !l.faults:
		findings = append(findings, "incomplete failure")
	}
	return findings
}

// judgeResponse judges a complete response.
func (l *ledger) judgeResponse(a *attempt, runs []platformtest.Execution) []string {
	l.counts[fmt.Sprint(a.status)]++
	switch a.status {
	case http.StatusOK:
		if a.call.stream() {
			l.counts["streams"]++
		}
		if a.signature == "" || len(runs) == 0 {
			return []string{"success that no endpoint signed"}
		}
		if wrong := a.call.checkBody(a.body); wrong != "" {
			return []string{wrong}
		}
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 && (!a.call.idempotent || !l.faults) {
			return []string{"ran although the response says that it did not"}
		}
		return nil
	case http.StatusUnauthorized, http.StatusNotFound:
		if a.call.optional && len(runs) == 0 {
			return nil
		}
	default:
		if l.faults || a.exhausted() || slices.ContainsFunc(runs, a.cutLate) {
			return nil
		}
	}
	return []string{"unexplained failure"}
}

// judgeLoss judges an attempt without a complete response.
func (l *ledger) judgeLoss(a *attempt, runs []platformtest.Execution) []string {
	l.counts["no complete response"]++
	switch {
	case l.faults, a.exhausted() && !a.unanswered(), a.sentAt.IsZero() && len(runs) == 0:
		return nil
	case a.unanswered():
		return []string{"not answered within its budget and " + answerSlack.String()}
	case len(runs) > 0:
		if slices.ContainsFunc(runs, a.cutLate) {
			l.counts["cut late"]++
			return nil
		}
		return []string{"LOST after it was passed on"}
	case a.endedOrderly() && a.endedAt.Sub(a.sentAt) > lossSlack+schedulingSlack:
		return []string{"LOST after it was read"}
	}
	l.counts["not read or crossed the exit"]++
	l.unread = append(l.unread, a)
	return nil
}

// exhausted reports whether the caller's time budget or the route's timeout has passed.
func (a *attempt) exhausted() bool {
	return !a.sentAt.IsZero() && a.endedAt.Sub(a.sentAt) >= min(a.call.budget, shortestTimeout)
}

// unanswered reports whether the caller gave up the wait for a response. A slow reader may
// itself be the cause that its response takes longer.
func (a *attempt) unanswered() bool {
	return isTimeout(a.err) && (a.status == 0 || a.call.readPause == 0)
}

// cutLate reports whether the rules allow the gateway to cut off a run at the end of its
// grace period.
func (a *attempt) cutLate(run platformtest.Execution) bool {
	stopAt, stopping := a.process.stopping()
	if !stopping || a.sentAt.After(stopAt.Add(earlyWindow)) {
		return false
	}
	stillRunning := run.EndedAt.IsZero() || run.EndedAt.After(stopAt.Add(gracePeriod-lateWindow))
	return stillRunning && a.endedAt.After(stopAt.Add(gracePeriod-lateWindow))
}
