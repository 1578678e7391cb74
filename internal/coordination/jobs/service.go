package jobs

import (
	"log/slog"
	"sync/atomic"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Leases are the shard leases of this controller.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// MayActFor reports whether this controller may act for a shard now.
	MayActFor(shard int) bool
}

// Reconciler runs the tasks of the shards that this controller holds.
type Reconciler interface {
	// StopInactive stops what cancelled jobs still have on machines.
	StopInactive()
	// SchedulePass asks for a reconcile pass soon.
	SchedulePass()
}

// Peers carries messages to other controllers.
type Peers interface {
	// Ask sends a message to a controller; done is called later on this controller's
	// goroutine.
	Ask(controller string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Config is what a Service uses for as long as the process lives.
type Config struct {
	Store     kv.Store
	Committer *kv.Committer
	Peers     Peers
	// PeerNames are the other controllers, in the order in which they are told of
	// cancellations.
	PeerNames []string
	Log       *slog.Logger
}

// GenerationConfig is what a Service uses for one generation.
type GenerationConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	View       *storage.View
	Leases     Leases
	Reconciler Reconciler
	// NeedsOutcomes reports whether this controller places work or rents machines, and so
	// must know of every dependency how it ended.
	NeedsOutcomes func() bool
}

// Service answers users' requests about jobs and follows dependencies. All methods but
// Counters are for the controller's goroutine, after the first BeginGeneration.
type Service struct {
	Config
	GenerationConfig

	finals   finalRecords
	recent   recentSubmissions
	counters counters

	// Of the generation:
	outcomes         *outcomeReader
	notices          *cancellationNotices
	dependentsWriter *dependentsWriter
}

// New makes a service; BeginGeneration must follow before anything else.
func New(c Config) *Service { return &Service{Config: c} }

// BeginGeneration begins a generation. Who waits for an outcome that the former one was
// reading is told that it will not come.
func (s *Service) BeginGeneration(c GenerationConfig) {
	former := s.outcomes
	s.GenerationConfig = c
	s.notices = newCancellationNotices(c.Generation, s.Peers, s.PeerNames)
	s.dependentsWriter = newDependentsWriter(s.Config, c, s.Remember)
	if former != nil {
		former.abandon()
	}
	s.outcomes = newOutcomeReader(c.Generation, s, s.Committer.Limits().RequestRate, s.Log)
}

// Tick does what only the passing of time asks for.
func (s *Service) Tick() {
	s.notices.send()
	s.ReadMissingOutcomes()
}

// ReadMissingOutcomes begins to read the final records that the view lacks, on a
// controller that needs them.
func (s *Service) ReadMissingOutcomes() {
	if s.NeedsOutcomes() {
		s.outcomes.readMissing(s.View.UnreadOutcomes())
	}
}

// WriteCancelledDependents writes the final records of jobs that are cancelled with a
// dependency. It must be called at the end of every reconcile pass.
func (s *Service) WriteCancelledDependents() { s.dependentsWriter.write() }

// Remember takes in that the final record of a job is durable, and what follows for its
// dependents.
func (s *Service) Remember(job string, final storage.FinalRecord) {
	s.finals.add(job, final)
	s.applyOutcome(job, final)
}

// checkReady returns a RetryLaterError until the records have been read.
func (s *Service) checkReady(job string) error {
	if !s.Replica.Ready() {
		return &api.RetryLaterError{Reason: api.ErrStarting, Job: job}
	}
	return nil
}

// storeError says that the key-value store could not be asked about a job.
func storeError(job string, cause error) error {
	return &api.RetryLaterError{Reason: api.ErrStoreUnavailable, Job: job, Cause: cause}
}

// Counters are how many jobs of the shards held were affected by a dependency.
type Counters struct {
	Released             uint64 // could start since the last of their dependencies was done
	CancelledWithAnother uint64 // were cancelled with a dependency
}

type counters struct{ released, cancelledWithAnother atomic.Uint64 }

// Counters returns the counts since the process started; it may be called from any
// goroutine.
func (s *Service) Counters() Counters {
	return Counters{Released: s.counters.released.Load(), CancelledWithAnother: s.counters.cancelledWithAnother.Load()}
}

// CountAwaitingDependencies counts the unfinished jobs of the shards held that wait for
// others. It walks through all jobs.
func (s *Service) CountAwaitingDependencies() int64 {
	var count int64
	s.View.Jobs.All(func(_ int, job *storage.Job) {
		if !job.Ended() && job.AwaitsDependencies() && s.Leases.Holds(job.Shard) {
			count++
		}
	})
	return count
}
