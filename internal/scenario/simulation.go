package scenario

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"rockrun/internal/config"
)

// simulation is the world of a scenario: controllers, the fakes of all that is outside of
// them, and the faults that they suffer.
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

	partitionedZone string // cut off from all else; "": none
	commands        commandFaults
	heartbeats      heartbeatFaults
}

// wallClockStart is the time of day at which scenarios begin.
var wallClockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// randomStream tells the random numbers of simulations from others of the same seed.
const randomStream = 7

func newSimulation(cluster config.Cluster, options config.Options, seed uint64, log io.Writer) *simulation {
	s := &simulation{
		rand:    rand.New(rand.NewPCG(seed, randomStream)),
		cluster: cluster,
		options: options,
		agents:  map[string]*fakeAgent{},
	}
	s.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: s.virtualTime}))
	s.faults = &faultLog{clock: &s.clock}
	s.store = newStore(s)
	s.cloud = &fakeCloud{sim: s, requests: map[string][]string{}, capacity: map[machinePool]int{}}
	s.checker = newChecker(s)
	s.trace = newTrace(s)
	s.users = &fakeUsers{sim: s, jobs: map[string]*userJob{}}
	return s
}

// virtualTime lets log lines carry the time of the scenario.
func (s *simulation) virtualTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Duration("at", s.now)
	}
	return a
}

// randomBelow draws a duration from zero to just below a bound.
func (s *simulation) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(bound)))
}

// randomBetween draws a duration from least to most, both included.
func (s *simulation) randomBetween(least, most time.Duration) time.Duration {
	return least + s.randomBelow(most-least+1)
}
