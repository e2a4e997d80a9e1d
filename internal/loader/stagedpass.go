package loader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/stopwatch"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// readerInterval is how long a pass over the staged chunks takes before it reads one more at
	// a time, up to maxReaders. A short pass needs a single connection to the engine.
	readerInterval = 50 * time.Millisecond
	maxReaders     = 8
	// maxPassTime is how long a divisible pass may take: it ends before a layer that would exceed
	// that, so that an order can be sent while its first check is recent.
	maxPassTime = maxCheckAge * 4 / 5
	// maxStageRetries limits how often corrupt chunks are staged again before the whole
	// load order fails and is repeated.
	maxStageRetries = 3
)

// layerLayout maps the layers of a weight set to its chunks. Two layers may share a chunk.
type layerLayout struct {
	layers, chunks int
}

// layoutOf returns the layout of a weight set: a single layer if their number is unknown.
func (l *Loader) layoutOf(manifest *weights.Manifest) layerLayout {
	plan, _ := l.plans.current()
	return layerLayout{layers: max(1, plan.Model.Layers), chunks: len(manifest.Positions())}
}

// firstChunk returns the first chunk of a layer, and endChunk the one after the last of the layers
// below it.
func (l layerLayout) firstChunk(layer int) int { return layer * l.chunks / l.layers }
func (l layerLayout) endChunk(layer int) int   { return (layer*l.chunks + l.layers - 1) / l.layers }

// layersBelow returns the number of layers all of whose chunks are below the given one.
func (l layerLayout) layersBelow(chunk int) int { return chunk * l.layers / l.chunks }

// stagedPass is a pass over the staged chunks of the layers from a layer on, in which each chunk is
// read back once.
type stagedPass struct {
	layout layerLayout
	// from and to are the layers whose chunks are read; to is exclusive, and 0 before the pass
	// means all layers from the first one on.
	from, to int
	// divisible is true if the pass may end before to, to take no longer than maxPassTime.
	divisible bool
	// started measures the time since before the first chunk was read.
	started stopwatch.Stopwatch
	took    time.Duration
	// check reads one chunk and reports whether it is intact.
	check func(ctx context.Context, chunk int) (bool, error)

	mu sync.Mutex
	// next is the next chunk to read, and end the one after the last.
	next, end int
	// completed is the number of chunks that were read, and corrupt that of those that were not
	// intact.
	completed, corrupt int
	err                error
	// fastestRead and lastRead are how long reads took. The last one began after measuredFrom.
	fastestRead, lastRead time.Duration
	measuredFrom          time.Time
	// finished is closed, and ended set, once no chunk is left.
	finished chan struct{}
	ended    bool
}

// isSmallest reports whether the pass covers so few layers that it can't be divided.
func (p *stagedPass) isSmallest() bool {
	return p.to == p.layout.layersBelow(p.layout.endChunk(p.from+1))
}

// run reads the chunks, more of them at a time the longer it takes.
func (p *stagedPass) run(ctx context.Context) error {
	p.next, p.end, p.finished = p.layout.firstChunk(p.from), p.layout.chunks, make(chan struct{})
	if p.to > 0 {
		p.end = p.layout.endChunk(p.to)
	}
	group := concurrency.NewGroup(ctx)
	group.Go(p.read)
	group.Go(func(context.Context) { p.addReaders(group) })
	group.Wait()
	group.Stop()
	p.took = p.started.Elapsed()
	p.to = p.layout.layersBelow(p.end)
	return p.err
}

// addReaders adds readers during the pass, as long as the engine serves several at a time.
func (p *stagedPass) addReaders(group *concurrency.Group) {
	ticker := time.NewTicker(readerInterval)
	defer ticker.Stop()
	for readers := 1; readers < maxReaders; {
		select {
		case <-ticker.C:
		case <-p.finished:
			return
		}
		if p.servesConcurrently() {
			group.Go(p.read)
			readers++
			p.readerAdded()
		}
	}
}

// readerAdded discards the measured time, until a read that began since has ended.
func (p *stagedPass) readerAdded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRead, p.measuredFrom = 0, time.Now()
}

// servesConcurrently reports whether reads take about as long as the fastest one: with an engine
// that serves one at a time, each takes longer by the number of readers.
func (p *stagedPass) servesConcurrently() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRead > 0 && p.lastRead < p.fastestRead*3/2
}

// read reads chunks until none is left.
func (p *stagedPass) read(ctx context.Context) {
	for chunk, ok := p.take(); ok; chunk, ok = p.take() {
		begin := time.Now()
		intact, err := p.check(ctx, chunk)
		p.record(intact, err, begin)
	}
}

// take returns the next chunk to read, and false if there is none.
func (p *stagedPass) take() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.divisible && p.corrupt == 0 && p.nextLayerTooLate() {
		p.end = p.next
	}
	if p.next >= p.end || p.err != nil {
		if !p.ended {
			p.ended = true
			close(p.finished)
		}
		return 0, false
	}
	p.next++
	return p.next - 1, true
}

// nextLayerTooLate reports whether all chunks of some layers were taken, and the pass would take too
// long with the next layer. The caller must hold mu.
func (p *stagedPass) nextLayerTooLate() bool {
	layer, first := p.layout.layersBelow(p.next), p.layout.firstChunk(p.from)
	if layer <= p.from || layer >= p.layout.layers || p.layout.endChunk(layer) != p.next {
		return false
	}
	following := p.layout.endChunk(layer+1) - first
	return p.started.Elapsed()*time.Duration(following) > maxPassTime*time.Duration(p.completed)
}

func (p *stagedPass) record(intact bool, err error, begin time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completed++
	took := time.Since(begin)
	if p.fastestRead == 0 || took < p.fastestRead {
		p.fastestRead = took
	}
	if !begin.Before(p.measuredFrom) {
		p.lastRead = took
	}
	if !intact {
		p.corrupt++
	}
	if p.err == nil {
		p.err = err
	}
}

// verifyStaged reads back the staged chunks of the layers from a layer on, and uploads those that
// are missing or corrupt, since staged data may become corrupt. It returns the first pass in
// which all chunks were intact.
func (l *Loader) verifyStaged(ctx context.Context, manifest *weights.Manifest, layout layerLayout, from int) (*stagedPass, error) {
	chunks := manifest.Positions()
	check := func(ctx context.Context, chunk int) (bool, error) {
		intact, err := l.stagedIntact(ctx, manifest.Model, chunk, chunks[chunk])
		if err == nil && !intact {
			err = l.stageChunk(ctx, manifest.Model, chunk, chunks[chunk])
		}
		return intact, err
	}
	for retries := 0; ; retries++ {
		pass := &stagedPass{layout: layout, from: from, divisible: true, started: stopwatch.Start(l.BootTime), check: check}
		switch err := pass.run(ctx); {
		case err != nil:
			return nil, err
		case pass.corrupt == 0:
			return pass, nil
		case retries == maxStageRetries:
			return nil, errors.Newf("%d staged chunks are still corrupt", pass.corrupt)
		}
	}
}

// stagedIntact reports whether the engine has staged a chunk with the right digest.
func (l *Loader) stagedIntact(ctx context.Context, model string, index int, chunk weights.Digest) (bool, error) {
	data, err := l.engine.StagedChunk(ctx, model, index)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return weights.Sum(data) == chunk, err
}

// stageChunk uploads a chunk to the engine.
func (l *Loader) stageChunk(ctx context.Context, model string, index int, chunk weights.Digest) error {
	data, err := l.store.Get(ctx, chunk)
	if err != nil {
		return errors.Wrapf(err, "chunk %d", index)
	}
	l.unconfirmed.chunkWritten()
	return l.engine.StageChunk(ctx, model, index, data)
}
