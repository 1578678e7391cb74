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

// Reconciler reconciles the tasks of the shards that this controller holds.
type Reconciler interface {
	// StopInactive stops the tasks of cancelled jobs.
	StopInactive()
	// SchedulePass schedules a reconcile pass soon.
	SchedulePass()
}

// Peers sends requests to other controllers.
type Peers interface {
	// SendRequest sends a request to a controller; done is called later on this controller's
	// goroutine.
	SendRequest(controller string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Config holds what a Service uses for the life of the process.
type Config struct {
	Store     kv.Store
	Committer *kv.Committer
	Peers     Peers
	// PeerNames are the names of the other controllers, in the order in which they are notified of
	// cancellations.
	PeerNames []string
	Log       *slog.Logger
}

// GenerationConfig holds what a Service uses for one generation.
type GenerationConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	View       *storage.View
	Leases     Leases
	Reconciler Reconciler
	// NeedsOutcomes reports whether this controller places tasks or creates machines, and
	// therefore needs the outcomes of all dependencies.
	NeedsOutcomes func() bool
}

// Service answers users' requests about jobs and follows dependencies. All methods except
// Counters must be called on the controller's goroutine, after the first BeginGeneration.
type Service struct {
	Config
	GenerationConfig

	finalRecords finalRecordCache
	recent       recentSubmissions
	counters     counters

	// State of the current generation:
	outcomes         *outcomeReader
	notices          *cancellationNotices
	dependentsWriter *dependentsWriter
}

// New creates a service; BeginGeneration must be called before any other method.
func New(c Config) *Service { return &Service{Config: c} }

// BeginGeneration begins a generation. Reads of outcomes that the previous generation did
// not finish fail.
func (s *Service) BeginGeneration(c GenerationConfig) {
	previous := s.outcomes
	s.GenerationConfig = c
	s.notices = newCancellationNotices(c.Generation, s.Peers, s.PeerNames)
	s.dependentsWriter = newDependentsWriter(s.Config, c, s.RecordOutcome)
	if previous != nil {
		previous.failWaiters()
	}
	s.outcomes = newOutcomeReader(c.Generation, s, s.Committer.Limits().RequestRate, s.Log)
}

// Tick does the periodic work: it sends queued notices and reads missing outcomes.
func (s *Service) Tick() {
	s.notices.send()
	s.ReadMissingOutcomes()
}

// ReadMissingOutcomes starts reading the final records that the view lacks, if this
// controller needs them.
func (s *Service) ReadMissingOutcomes() {
	if s.NeedsOutcomes() {
		s.outcomes.readMissing(s.View.UnreadOutcomes())
	}
}

// WriteCancelledDependents writes the final records of jobs that are cancelled because a
// dependency was cancelled. It must be called at the end of every reconcile pass.
func (s *Service) WriteCancelledDependents() { s.dependentsWriter.writeDueRecords() }

// RecordOutcome caches a durable final record of a job and applies the outcome to the view and
// the job's dependents.
func (s *Service) RecordOutcome(job string, final storage.FinalRecord) {
	s.finalRecords.add(job, final)
	s.applyOutcome(job, final)
}

// checkReady returns a RetryLaterError until the replica has read all records.
func (s *Service) checkReady(job string) error {
	if !s.Replica.Ready() {
		return &api.RetryLaterError{Reason: api.ErrStarting, Job: job}
	}
	return nil
}

// storeError returns the error for a request about a job that failed because the key-value
// store was unavailable.
func storeError(job string, cause error) error {
	return &api.RetryLaterError{Reason: api.ErrStoreUnavailable, Job: job, Cause: cause}
}

// Counters counts the jobs, in shards held by this controller, that were released or
// cancelled by a dependency.
type Counters struct {
	Released              uint64 // became startable when their last dependency was done
	CancelledByDependency uint64 // cancelled because a dependency was cancelled
}

type counters struct{ released, cancelledByDependency atomic.Uint64 }

// Counters returns the counts since the process started; it may be called from any
// goroutine.
func (s *Service) Counters() Counters {
	return Counters{Released: s.counters.released.Load(), CancelledByDependency: s.counters.cancelledByDependency.Load()}
}

// CountAwaitingDependencies counts the unfinished jobs in shards held by this controller
// that await dependencies. It iterates over all jobs.
func (s *Service) CountAwaitingDependencies() int64 {
	var count int64
	s.View.Jobs.All(func(_ int, job *storage.Job) {
		if !job.Ended() && job.AwaitsDependencies() && s.Leases.Holds(job.Shard) {
			count++
		}
	})
	return count
}
