package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

var fullRun = flag.Bool("figures", false, "run every size and print one JSON object per line")

// burstWindow is the time limit of a rollout. Within it, the origin's link can
// transfer four copies of the weight set and each instance's link two.
const burstWindow = 300 * time.Second

// sizeScale scales real sizes down to test sizes: a chunk of 1 MiB becomes 1 KiB.
const sizeScale = 1.0 / 1024

const (
	realChunkBytes = 1 << 20
	// interRegionRate is the rate of an inter-region link, 32 Mbit/s, in bytes per second.
	interRegionRate = 32e6 / 8
	// liveShare is the fraction of an inter-region link that live traffic uses.
	liveShare = 0.3
)

// burstCase configures one burst: a rollout of a weight set to all instances at
// once.
type burstCase struct {
	policy  string
	sources p2p.SourcesFunc
	// rateLimited limits the rate of weights on the instances' links too, in favor of
	// live traffic.
	rateLimited bool
	// storeAndForward makes an instance serve chunks only once it has the complete set.
	storeAndForward bool
	instances       int
	regions         int
	chunks          int
	faults          bool
	seed            uint64
}

// burstMeasurement holds the measurements of one burst.
type burstMeasurement struct {
	Kind                       string  `json:"figure"`
	Policy                     string  `json:"policy"`
	Instances                  int     `json:"instances"`
	Regions                    int     `json:"regions"`
	Chunks                     int     `json:"chunks"`
	Faults                     bool    `json:"faults"`
	Seed                       uint64  `json:"seed"`
	RateLimited                bool    `json:"paced"`
	RolloutSecondsP90          float64 `json:"replicaSecondsRequired"`
	RolloutSeconds             float64 `json:"replicaSecondsAll"`
	LowerBoundSeconds          float64 `json:"floorSeconds"`
	LowerBoundRatio            float64 `json:"floorRatio"`
	OriginCopies               float64 `json:"originCopies"`
	InterRegionCopies          float64 `json:"interRegionCopies"`
	LiveDelayP99Milliseconds   float64 `json:"liveDelayMillisecondsP99"`
	LinkDelayP90Milliseconds   float64 `json:"linkDelayMillisecondsP90"`
	LinkDelayP99Milliseconds   float64 `json:"linkDelayMillisecondsP99"`
	ThinLinkUtilization        float64 `json:"thinShareUsed"`
	ControlMessagesPerInstance float64 `json:"controlMessagesPerInstance"`
	ControlBytesPerInstance    float64 `json:"controlBytesPerInstance"`
	CorruptChunks              int64   `json:"corruptChunks"`
	MaxUploadCopies            float64 `json:"maxUploadCopies"`
	Finished                   int     `json:"finished"`
	Survivors                  int     `json:"survivors"`
}

// requestBytes is the size of one chunk request including headers.
const requestBytes = 300

// burstBench simulates one burst with real fetchers over fake links.
type burstBench struct {
	config      burstCase
	manifest    *weights.Manifest
	content     map[weights.Digest][]byte
	origin      *fakes.Link
	nodes       map[string]*burstNode
	members     []membership.Instance
	interRegion map[[2]string]*interRegionLink
	random      *rand.Rand
	mu          sync.Mutex
	finished    []time.Duration
	// killedIndexes are the indexes of the instances that injectFaults kills.
	killedIndexes []int
	// survivors is the number of instances that were not killed.
	survivors int
	// linkDelays are the sampled delays of live traffic on the instances' links.
	linkDelays []time.Duration
}

type burstNode struct {
	fetcher  *p2p.Fetcher
	uplink   *fakes.Link
	downlink *fakes.Link
	// uplinkLimiter and downlinkLimiter rate-limit the uplink and the downlink.
	uplinkLimiter   *bandwidth.Link
	downlinkLimiter *bandwidth.Link
	ctx             context.Context
	cancel          context.CancelFunc
}

func newBurstBench(t *testing.T, c burstCase) *burstBench {
	t.Helper()
	b := &burstBench{config: c, content: map[weights.Digest][]byte{}, nodes: map[string]*burstNode{}, interRegion: map[[2]string]*interRegionLink{}}
	b.random = rand.New(rand.NewPCG(c.seed, 1))
	b.killedIndexes = b.random.Perm(c.instances)[:(c.instances*5+99)/100]
	b.manifest = b.newManifest(t)
	setBytes := float64(b.manifest.Bytes())
	window := burstWindow.Seconds()
	b.origin = &fakes.Link{Rate: 4 * setBytes / window, Latency: time.Millisecond}
	for index := range c.instances {
		region := fmt.Sprintf("region-%d", index%c.regions)
		member := membership.Instance{Name: fmt.Sprintf("node-%04d", index), Region: region, AvailabilityZone: region, Status: membership.Live}
		b.members = append(b.members, member)
		b.nodes[member.Name] = b.newNode(t, member, 2*setBytes/window)
	}
	for from := range c.regions {
		for to := range c.regions {
			if from != to {
				key := [2]string{fmt.Sprintf("region-%d", from), fmt.Sprintf("region-%d", to)}
				rate := interRegionRate * sizeScale
				b.interRegion[key] = &interRegionLink{
					link:     &fakes.Link{Rate: rate, Latency: 2 * time.Millisecond},
					liveOnly: &fakes.Link{Rate: rate, Latency: 2 * time.Millisecond},
				}
			}
		}
	}
	return b
}

func (b *burstBench) newManifest(t *testing.T) *weights.Manifest {
	t.Helper()
	chunkBytes := int(realChunkBytes * sizeScale)
	part := weights.Part{Name: "base", Kind: weights.BasePart, Bytes: int64(chunkBytes * b.config.chunks)}
	for index := range b.config.chunks {
		data := make([]byte, chunkBytes)
		copy(data, fmt.Sprintf("chunk %d", index))
		digest := weights.Sum(data)
		b.content[digest] = data
		part.Chunks = append(part.Chunks, digest)
	}
	text, err := json.Marshal(weights.Manifest{Model: "draft", Version: "v1", ChunkBytes: chunkBytes, Parts: []weights.Part{part}})
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

func (b *burstBench) newNode(t *testing.T, self membership.Instance, rate float64) *burstNode {
	t.Helper()
	node := &burstNode{
		uplink:   &fakes.Link{Rate: rate, Latency: time.Millisecond},
		downlink: &fakes.Link{Rate: rate},
	}
	node.uplinkLimiter, node.downlinkLimiter = &bandwidth.Link{}, &bandwidth.Link{}
	if b.config.rateLimited {
		node.uplinkLimiter.Rate, node.downlinkLimiter.Rate = rate, rate
	}
	store := weights.NewStore(bytesize.GiB)
	if err := store.Pin(b.manifest); err != nil {
		t.Fatal(err)
	}
	node.fetcher = &p2p.Fetcher{
		Self: self, HomeRegion: "region-0", FanOut: 8, Store: store, Log: event.Discard(), SizeScale: sizeScale,
		ThinLinkDelay: 10 * time.Millisecond, Sources: b.config.sources,
		FetchPeer: func(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
			return b.fetchPeer(ctx, self, peer, request)
		},
		FetchOrigin: func(ctx context.Context, chunk weights.Digest) ([]byte, error) {
			b.sendChunk(ctx, b.origin, &bandwidth.Link{}, node, len(b.content[chunk]))
			return b.content[chunk], ctx.Err()
		},
	}
	return node
}

// corrupt damages one chunk in a hundred when faults are enabled. A chunk sent as
// several slices has the same probability as one sent whole.
func (b *burstBench) corrupt(response p2p.Response) p2p.Response {
	b.mu.Lock()
	defer b.mu.Unlock()
	sliceCount := float64(response.Total) / float64(max(1, len(response.Data)))
	if b.config.faults && b.random.Float64() < 0.01/sliceCount {
		damaged := bytes.Clone(response.Data)
		damaged[0] ^= 0xff
		response.Data = damaged
	}
	return response
}

// run measures one burst. It must be called in a synctest bubble.
func (b *burstBench) run(t *testing.T) burstMeasurement {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*burstWindow)
	defer cancel()
	live := concurrency.NewGroup(ctx)
	for _, link := range b.interRegion {
		seed := b.random.Uint64()
		live.Go(func(ctx context.Context) { link.liveTraffic(ctx, rand.New(rand.NewPCG(seed, 2))) })
	}
	sampling := rand.New(rand.NewPCG(b.config.seed, 3))
	live.Go(func(ctx context.Context) { b.liveRequests(ctx, sampling) })
	start := time.Now()
	fetches := concurrency.NewGroup(ctx)
	for _, member := range b.members {
		node := b.nodes[member.Name]
		node.ctx, node.cancel = context.WithCancel(ctx)
	}
	for _, member := range b.members {
		node := b.nodes[member.Name]
		fetches.Go(func(context.Context) {
			if node.fetcher.Fetch(node.ctx, b.manifest, b.members) == nil {
				b.mu.Lock()
				b.finished = append(b.finished, time.Since(start))
				b.mu.Unlock()
			}
		})
	}
	if b.config.faults {
		live.Go(b.injectFaults)
	}
	fetches.Wait()
	for _, node := range b.nodes {
		if ctx.Err() != nil || node.ctx.Err() == nil {
			b.survivors++
		}
	}
	live.Stop()
	live.Wait()
	return b.measurement()
}

// injectFaults kills 5% of the instances and stalls one inter-region link for
// 30 s during the burst.
func (b *burstBench) injectFaults(ctx context.Context) {
	lowerBound := b.lowerBound()
	stalled := b.interRegion[[2]string{"region-0", "region-1"}]
	concurrency.Sleep(ctx, time.Duration(0.2*lowerBound*float64(time.Second)))
	if stalled != nil {
		stalled.link.Stall(30 * time.Second)
		stalled.liveOnly.Stall(30 * time.Second)
	}
	for _, killed := range b.killedIndexes {
		b.nodes[b.members[killed].Name].cancel()
		concurrency.Sleep(ctx, time.Duration(0.5*lowerBound/float64(len(b.killedIndexes))*float64(time.Second)))
	}
}

// lowerBound returns the shortest possible duration of the burst in seconds, given the
// rates of the links.
func (b *burstBench) lowerBound() float64 {
	setBytes := float64(b.manifest.Bytes())
	lowerBound := burstWindow.Seconds() / 2
	if b.config.regions > 1 {
		lowerBound = max(lowerBound, setBytes/(interRegionRate*sizeScale*(1-liveShare)))
	}
	return lowerBound
}

func (b *burstBench) measurement() burstMeasurement {
	setBytes := float64(b.manifest.Bytes())
	slices.Sort(b.finished)
	m := burstMeasurement{
		Kind: "burst", Policy: b.config.policy, Instances: b.config.instances, Regions: b.config.regions, Chunks: b.config.chunks,
		Faults: b.config.faults, Seed: b.config.seed, RateLimited: b.config.rateLimited, LowerBoundSeconds: b.lowerBound(),
		OriginCopies: float64(b.origin.Bytes()) / setBytes,
	}
	m.Finished = len(b.finished)
	m.Survivors = b.survivors
	// The rollout times are defined only if every survivor has the set.
	if len(b.finished) == b.survivors && b.survivors > 0 {
		m.RolloutSeconds = b.finished[len(b.finished)-1].Seconds()
		m.RolloutSecondsP90 = b.finished[len(b.finished)*9/10].Seconds()
	}
	m.LowerBoundRatio = m.RolloutSeconds / m.LowerBoundSeconds
	var delays []time.Duration
	for _, link := range b.interRegion {
		copies := float64(link.weightBytes) / setBytes
		m.InterRegionCopies = max(m.InterRegionCopies, copies)
		m.ThinLinkUtilization = max(m.ThinLinkUtilization, float64(link.weightBytes)/(max(1, m.RolloutSeconds)*interRegionRate*sizeScale*(1-liveShare)))
		delays = append(delays, link.delays...)
	}
	m.LiveDelayP99Milliseconds = milliseconds(delays, 99)
	m.LinkDelayP90Milliseconds = milliseconds(b.linkDelays, 90)
	m.LinkDelayP99Milliseconds = milliseconds(b.linkDelays, 99)
	for _, node := range b.nodes {
		messages := float64(node.fetcher.Counters().PeerRequests.Load() + node.fetcher.Counters().OriginChunks.Load())
		m.ControlMessagesPerInstance += messages / float64(b.config.instances)
		m.CorruptChunks += node.fetcher.Counters().CorruptChunks.Load()
		m.MaxUploadCopies = max(m.MaxUploadCopies, float64(node.uplink.Bytes())/setBytes)
	}
	m.ControlBytesPerInstance = m.ControlMessagesPerInstance * requestBytes
	return m
}

// milliseconds returns the given percentile of the delays in milliseconds.
func milliseconds(delays []time.Duration, percent int) float64 {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return float64(delays[len(delays)*percent/100].Microseconds()) / 1000
}
