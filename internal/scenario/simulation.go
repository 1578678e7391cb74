package scenario

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"rockrun/internal/config"
)

// simulation is the state of a running scenario: the controllers, the fakes of everything outside
// of them, and the injected faults.
type simulation struct {
	clock
	rand    *rand.Rand
	log     *slog.Logger
	cluster config.Cluster
	options config.Options

	hosts  []*host
	store  *fakeStore
	cloud  *fakeCloud
	agents map[string]*fakeAgent // by machine
	users  *fakeUsers

	checker *checker
	trace   *trace // of what controllers send
	faults  *faultLog
	network networkFaults
}

// wallClockStart is the wall-clock time at which scenarios begin.
var wallClockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// randomStream is the second half of the PCG seed. It keeps the random numbers of simulations
// independent of other generators with the same seed.
const randomStream = 7

func newSimulation(cluster config.Cluster, options config.Options, seed uint64, log io.Writer) *simulation {
	sim := &simulation{
		rand:    rand.New(rand.NewPCG(seed, randomStream)),
		cluster: cluster,
		options: options,
		agents:  map[string]*fakeAgent{},
	}
	sim.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: sim.replaceLogTime}))
	sim.faults = &faultLog{clock: &sim.clock}
	sim.store = newStore(sim)
	sim.cloud = &fakeCloud{sim: sim, requests: map[string][]string{}, capacity: map[machinePool]int{}}
	sim.checker = newChecker(sim)
	sim.trace = newTrace(sim)
	sim.users = &fakeUsers{sim: sim, jobs: map[string]*userJob{}}
	return sim
}

// replaceLogTime replaces the wall-clock time of log lines by the virtual time of the scenario.
func (s *simulation) replaceLogTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.Duration("at", s.now)
	}
	return attr
}

// randomBelow draws a random duration in [0, bound).
func (s *simulation) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(bound)))
}

// randomBetween draws a random duration in [least, most].
func (s *simulation) randomBetween(least, most time.Duration) time.Duration {
	return least + s.randomBelow(most-least+1)
}
