package reconcile

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// attempt is one execution of a task on one machine.
type attempt struct {
	job              *storage.Job
	progress         *jobProgress
	task             int
	number           uint64
	agent            *agent
	page             *intentPage // intent page that names the attempt; nil until assigned
	entrySize        int         // bytes of its entry on the page, without the machine's name
	state            attemptState
	start            startCommand
	stop             stopCommand
	listedInSequence uint64 // sequence number of the last heartbeat that listed it
	inherited        bool   // planned by an earlier holder; known only from the records when acquired
	// awaitsFence is set if the agent has reported the end of the attempt, but would still execute
	// a delayed copy of its start if it lost its task list.
	awaitsFence  bool
	plannedAt    time.Duration
	runningSince time.Duration // when a heartbeat first showed it running
}

// ref identifies the task.
func (a *attempt) ref() storage.TaskRef {
	return storage.TaskRef{Job: a.job.Index, Task: a.task}
}

// live reports whether the task may still be on the machine.
func (a *attempt) live() bool { return a.state != attemptEnded }

// blocksTask reports whether no other attempt at the task may be started because of this one.
func (a *attempt) blocksTask() bool { return a.live() || a.awaitsFence }

// durable reports whether the records name the attempt.
func (a *attempt) durable() bool { return a.agent.machine.Intents[a.ref()].Attempt == a.number }

// startable reports whether the attempt may be started: this holder planned the attempt, its
// intent is durable, and its job is active.
func (a *attempt) startable() bool {
	return a.state == attemptPlanned && a.durable() && a.job.Active() && !a.inherited
}

// stopDue reports whether a stop must be sent or repeated.
func (a *attempt) stopDue(now time.Duration) bool {
	return a.live() && a.stop.requested && (a.stop.sentAt == 0 || now-a.stop.sentAt > stopRetryInterval && a.state != attemptSaving)
}

// saveGrace is the time in seconds that the task needs to save its progress when stopped, or
// 0 if the task cannot save its progress.
func (a *attempt) saveGrace() float64 {
	if a.job.CheckpointSeconds > 0 {
		return a.job.SaveSeconds
	}
	return 0
}

// stopCommand returns the command that stops the attempt.
func (a *attempt) stopCommand() pendingCommand {
	grace := a.stop.graceSeconds
	stop := protocol.Command{Verb: protocol.VerbStop, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number, GraceSeconds: &grace}
	return pendingCommand{Command: stop, attempt: a}
}

// startCommand returns the command that starts the attempt.
func (a *attempt) startCommand() pendingCommand {
	start := protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number}
	return pendingCommand{Command: start, attempt: a}
}

// recordStop notes that a stop of the attempt is sent now.
func (a *attempt) recordStop(now time.Duration) { a.stop.sentAt = now }

// recordStart notes that a start of the attempt is sent now.
func (a *attempt) recordStart(now time.Duration) {
	a.start.record(a.agent.fence.tokenForStart(), a.agent.contact.epoch, now)
}

// startCommand describes the starts that may have been sent for an attempt.
type startCommand struct {
	token  uint64        // highest fencing token of a start; 0: none was sent
	epoch  uint64        // epoch of the agent at the last start; 0: unknown
	sentAt time.Duration // when this holder sent its first start
}

// sent reports whether a start may have been sent.
func (s *startCommand) sent() bool { return s.token > 0 }

// record notes that a start is sent.
func (s *startCommand) record(token, epoch uint64, now time.Duration) {
	if !s.sent() {
		s.sentAt = now
	}
	s.token, s.epoch = token, epoch
}

// stopRetryInterval is the delay after which a stop without effect is sent again.
const stopRetryInterval = 2 * time.Second

// stopCommand describes whether and how an attempt must be stopped. A requested stop is never
// withdrawn.
type stopCommand struct {
	requested    bool
	graceSeconds float64       // time to save progress
	sentAt       time.Duration // when the stop was last sent; 0: not yet
}

// request requests a stop, which is sent even if an earlier stop was sent already.
func (s *stopCommand) request(graceSeconds float64) {
	*s = stopCommand{requested: true, graceSeconds: graceSeconds}
}
