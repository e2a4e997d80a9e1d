package lifecycle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// scenario performs random events, in series and overlapping.
type scenario struct {
	site    *site
	ledger  *ledger
	random  *rand.Rand
	started time.Time
	// overlapping runs the events that the next one does not wait for.
	overlapping *concurrency.Group
	keys        int
	version     int64

	restoring sync.Mutex

	mu sync.Mutex
	// claimed holds the endpoints that are in use by an event.
	claimed map[string]bool
	log     []string
	counts  map[string]int
}

// event is a random event. The random numbers are those of the event, since events overlap.
type event struct {
	name   string
	weight int
	do     func(random *rand.Rand)
}

func (s *scenario) events() []event {
	list := []event{
		{"restart a gateway", 4, func(r *rand.Rand) { s.restart(s.gateway(r), r) }},
		{"restart two gateways at once", 2, s.restartTwo},
		{"restart all gateways in turn", 1, s.restartAll},
		{"stop a gateway while it starts", 2, func(r *rand.Rand) { s.stopWhileStarting(s.gateway(r), r) }},
		{"signal a gateway before it has its settings", 2, func(r *rand.Rand) { s.signalBlocked(s.gateway(r), r) }},
		{"SIGHUP a gateway", 3, func(r *rand.Rand) { s.hangUp(s.gateway(r), r) }},
		{"change settings without a signal", 1, func(r *rand.Rand) { s.gateway(r).writeSettings(r.IntN(20)) }},
		{"restart a loader", 2, func(r *rand.Rand) { s.restart(s.loader(r), r) }},
		{"stop a loader while it starts", 1, func(r *rand.Rand) { s.stopWhileStarting(s.loader(r), r) }},
		{"signal a loader before it has its settings", 1, func(r *rand.Rand) { s.signalBlocked(s.loader(r), r) }},
		{"SIGHUP a loader", 1, func(r *rand.Rand) { s.hangUp(s.loader(r), r) }},
		{"change the desired state", 6, s.configure},
		{"roll out a version", 1, s.rollOut},
		{"endpoint limits its requests", 2, s.limitRequests},
		{"endpoint turns requests away", 2, s.turnAway},
		{"store returns from an older copy", 1, s.restoreStore},
	}
	if s.ledger.faults {
		list = append(
			list,
			event{"kill a gateway", 3, func(r *rand.Rand) { s.kill(s.gateway(r), r) }},
			event{"kill a loader", 1, func(r *rand.Rand) { s.kill(s.loader(r), r) }},
			event{"endpoint drops responses", 2, s.dropResponses},
			event{"gateway has no free file descriptor", 2, func(r *rand.Rand) { s.exhaustDescriptors(s.gateway(r), r) }},
		)
	}
	return list
}

// run performs events until the duration has passed and waits for their end.
func (s *scenario) run(duration time.Duration) {
	s.started, s.overlapping, s.counts = time.Now(), concurrency.NewGroup(context.Background()), map[string]int{}
	events, total := s.events(), 0
	for _, candidate := range events {
		total += candidate.weight
	}
	for time.Since(s.started) < duration {
		drawn, index := s.random.IntN(total), 0
		for ; drawn >= events[index].weight; index++ {
			drawn -= events[index].weight
		}
		random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
		s.record("%s", events[index].name)
		s.counts[events[index].name]++
		if s.random.IntN(8) == 0 {
			events[index].do(random)
		} else {
			s.overlapping.Go(func(context.Context) { events[index].do(random) })
		}
		time.Sleep(between(s.random, 50*time.Millisecond, time.Second))
	}
	s.overlapping.Wait()
}

func (s *scenario) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%s %6.2fs ", time.Now().Format("15:04:05.000"), time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

func (s *scenario) gateway(random *rand.Rand) *daemon {
	return s.site.gateways[random.IntN(len(s.site.gateways))]
}

func (s *scenario) loader(random *rand.Rand) *daemon {
	return s.site.loaders[random.IntN(len(s.site.loaders))]
}

// restart stops a daemon, sometimes with a second SIGTERM or a SIGHUP during the stop, and
// starts it again. If another event is stopping the daemon, it only sends signals.
func (s *scenario) restart(d *daemon, random *rand.Rand) {
	if !d.busy.TryLock() {
		s.signalAgain(d.process(), random)
		return
	}
	defer d.busy.Unlock()
	s.stopAndStart(d, random)
}

func (s *scenario) stopAndStart(d *daemon, random *rand.Rand) {
	p := d.process()
	s.record("SIGTERM %s", p.output)
	p.terminate()
	if random.IntN(2) == 0 {
		time.Sleep(between(random, time.Millisecond, 6*time.Second))
		s.signalAgain(p, random)
	}
	d.awaitExit(p)
	s.startAgain(d, random)
}

// signalAgain sends a signal to a process that may be stopping or starting.
func (s *scenario) signalAgain(p *process, random *rand.Rand) {
	if _, stopping := p.stopping(); !stopping || p.exited() {
		return
	}
	switch random.IntN(4) {
	case 0:
		s.record("second SIGTERM %s", p.output)
		p.terminate()
		return
	case 1:
		s.record("SIGTERM until the exit %s", p.output)
		p.terminateUntilExit()
		return
	}
	if random.IntN(2) == 0 {
		p.daemon.writeSettings(random.IntN(20))
	}
	s.record("SIGHUP during the stop %s", p.output)
	p.hangUp()
}

// startAgain starts a daemon after a short pause and waits until it is ready.
func (s *scenario) startAgain(d *daemon, random *rand.Rand) {
	time.Sleep(between(random, 0, 500*time.Millisecond))
	s.record("start %s", d.start().output)
	d.awaitReady()
}

func (s *scenario) restartTwo(random *rand.Rand) {
	order := random.Perm(len(s.site.gateways))
	both := concurrency.NewGroup(context.Background())
	for _, index := range order[:2] {
		next := rand.New(rand.NewPCG(random.Uint64(), 2))
		both.Go(func(context.Context) { s.restart(s.site.gateways[index], next) })
	}
	both.Wait()
}

func (s *scenario) restartAll(random *rand.Rand) {
	for _, d := range s.site.gateways {
		d.busy.Lock()
		s.stopAndStart(d, random)
		d.busy.Unlock()
	}
}

// stopWhileStarting stops a daemon, starts it and stops it again at once.
func (s *scenario) stopWhileStarting(d *daemon, random *rand.Rand) {
	if !d.busy.TryLock() {
		return
	}
	defer d.busy.Unlock()
	s.record("SIGTERM %s", d.process().output)
	d.stop()
	p := d.start()
	time.Sleep(between(random, 0, 300*time.Millisecond))
	s.record("SIGTERM during the start %s", p.output)
	p.terminate()
	d.awaitExit(p)
	s.startAgain(d, random)
}

// signalBlocked restarts a daemon and signals it while it reads its settings.
func (s *scenario) signalBlocked(d *daemon, random *rand.Rand) {
	if !d.busy.TryLock() {
		return
	}
	defer d.busy.Unlock()
	s.record("SIGTERM %s", d.process().output)
	d.stop()
	hangUp := random.IntN(2) == 0
	p := d.startBlocked(func(p *process) {
		s.record("signal before the settings %s, SIGHUP %t", p.output, hangUp)
		if hangUp {
			p.hangUp()
		} else {
			p.terminate()
		}
		time.Sleep(signalDeliveryTime)
	})
	if hangUp {
		d.awaitReady()
	} else {
		d.awaitExit(p)
	}
	if p.exited() {
		s.startAgain(d, random)
	}
}

// signalDeliveryTime is the time for which a start waits after a signal.
const signalDeliveryTime = 100 * time.Millisecond

// hangUp sends SIGHUP to a daemon that runs or stops, with changed or unchanged settings.
func (s *scenario) hangUp(d *daemon, random *rand.Rand) {
	p := d.process()
	if !p.printed("process started") || p.exited() {
		return
	}
	changed := random.IntN(2) == 0
	if changed {
		d.writeSettings(random.IntN(20))
	}
	s.record("SIGHUP %s, changed settings %t", p.output, changed)
	for range 1 + random.IntN(3) {
		p.hangUp()
	}
}

// configure changes the desired state.
func (s *scenario) configure(random *rand.Rand) {
	s.site.configure(func(state *platformtest.DesiredState) {
		switch random.IntN(5) {
		case 0:
			for index := range state.Routes {
				if route := &state.Routes[index]; route.Service != engineService && random.IntN(2) == 0 {
					route.Service = plainServices[random.IntN(len(plainServices))]
				}
			}
		case 1, 2:
			s.toggleTrial(state)
		case 3:
			for index := range state.Routes {
				state.Routes[index].Timeout = int(between(random, shortestTimeout, 2*shortestTimeout).Milliseconds())
			}
		default:
			s.keys++
			state.Workspaces[0].APIKeys = []string{stableKey, fmt.Sprint("key-", s.keys)}
			if random.IntN(2) == 0 {
				state.Workspaces = append(state.Workspaces[:1:1], platformtest.Workspace{Name: "new", APIKeys: []string{fmt.Sprint("new-", s.keys)}})
			}
		}
	})
}

// toggleTrial removes the route that comes and goes, or adds it.
func (s *scenario) toggleTrial(state *platformtest.DesiredState) {
	last := len(state.Routes) - 1
	if state.Routes[last].Name == "trial" {
		state.Routes = state.Routes[:last]
		return
	}
	initial := s.site.initialState().Routes
	state.Routes = append(state.Routes, initial[len(initial)-1])
}

// rollOut requests the rollout of the next version of the model.
func (s *scenario) rollOut(*rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.site.store.RequestRollout(modelName, 1+s.version)
}

// kill kills a daemon and starts it again.
func (s *scenario) kill(d *daemon, random *rand.Rand) {
	if !d.busy.TryLock() {
		return
	}
	defer d.busy.Unlock()
	p := d.process()
	s.record("SIGKILL %s", p.output)
	p.kill()
	s.startAgain(d, random)
}

// dropResponses lets an endpoint drop its responses for a while.
func (s *scenario) dropResponses(random *rand.Rand) {
	endpoint := s.site.endpoints[random.IntN(len(s.site.endpoints))]
	if !s.claim(endpoint) {
		return
	}
	defer s.release(endpoint)
	endpoint.SetFaults(platformtest.EndpointFaults{DropResponses: true, TruncateStreams: true})
	time.Sleep(between(random, 100*time.Millisecond, 2*time.Second))
	endpoint.SetFaults(platformtest.EndpointFaults{})
}

// exhaustDescriptors lowers the limit of open files of a gateway for a while, so that it
// cannot accept connections.
func (s *scenario) exhaustDescriptors(d *daemon, random *rand.Rand) {
	p := d.process()
	var limit unix.Rlimit
	if !p.ready.Load() || p.exited() || unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, nil, &limit) != nil {
		return
	}
	s.record("no free file descriptor in %s", p.output)
	lowered := unix.Rlimit{Cur: 8, Max: limit.Max}
	_ = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &lowered, nil)
	time.Sleep(between(random, 100*time.Millisecond, time.Second))
	_ = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}
