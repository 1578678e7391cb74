package reconcile

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// attempt is one try at a task on one machine.
type attempt struct {
	job              *storage.Job
	progress         *jobProgress
	task             int
	number           uint64
	agent            *agent
	page             *intentPage // of intents that names it; nil until one is chosen
	entrySize        int         // bytes of its entry there, the machine's name aside
	state            attemptState
	start            startCommand
	stop             stopCommand
	listedInSequence uint64 // number of the last heartbeat that listed it
	inherited        bool   // of a former holder, not seen yet
	plannedAt        time.Duration
	runningSince     time.Duration // when first seen running
}

// ref names the task.
func (a *attempt) ref() storage.TaskRef {
	return storage.TaskRef{Job: a.job.Index, Task: a.task}
}

// live reports whether the task may still be on the machine.
func (a *attempt) live() bool { return a.state != attemptEnded }

// durable reports whether the records name the attempt.
func (a *attempt) durable() bool { return a.agent.machine.Intents[a.ref()].Attempt == a.number }

// startable reports whether the attempt may be started: its intent is durable, and its job
// still wanted.
func (a *attempt) startable() bool {
	return a.state == attemptPlanned && a.durable() && a.job.Active() && !a.inherited
}

// stopDue reports whether a stop is to be sent, or to be repeated.
func (a *attempt) stopDue(now time.Duration) bool {
	return a.live() && a.stop.requested && (a.stop.sentAt == 0 || now-a.stop.sentAt > stopRepeatPause && a.state != attemptSaving)
}

// saveGrace is the time that the task needs to save its progress when it is stopped, in
// seconds; 0 where it can't.
func (a *attempt) saveGrace() float64 {
	if a.job.CheckpointSeconds > 0 {
		return a.job.SaveSeconds
	}
	return 0
}

// stopNow is the stop of the attempt, which is sent now.
func (a *attempt) stopNow(now time.Duration) protocol.Command {
	grace := a.stop.graceSeconds
	a.stop.sentAt = now
	return protocol.Command{Verb: protocol.VerbStop, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number, GraceSeconds: &grace}
}

// startNow is the start of the attempt, which is sent now.
func (a *attempt) startNow(now time.Duration) protocol.Command {
	a.start.record(a.agent.fence.useForStart(), a.agent.contact.epoch, now)
	return protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number}
}

// startCommand is what is known of the starts that may have been sent for an attempt.
type startCommand struct {
	token  uint64        // highest fencing token of one; 0: none was sent
	epoch  uint64        // the agent's epoch then; 0: not known
	sentAt time.Duration // when the first of this holder was
}

// sent reports whether a start may have been sent.
func (s *startCommand) sent() bool { return s.token > 0 }

// record takes in that a start is sent.
func (s *startCommand) record(token, epoch uint64, now time.Duration) {
	if !s.sent() {
		s.sentAt = now
	}
	s.token, s.epoch = token, epoch
}

// stopRepeatPause is the time after which a stop that goes unheeded is sent again.
const stopRepeatPause = 2 * time.Second

// stopCommand is whether an attempt is to leave its machine. Once requested, a stop is
// never taken back.
type stopCommand struct {
	requested    bool
	graceSeconds float64       // time to save progress
	sentAt       time.Duration // when it was last sent; 0: not yet
}

// request asks for the stop, to be sent anew.
func (s *stopCommand) request(graceSeconds float64) {
	*s = stopCommand{requested: true, graceSeconds: graceSeconds}
}
