package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// stopCommands are the stops of all that must leave a machine. They need no fence and no
// entitlement: a stop that comes too late or from one that holds the machine no
// longer meets a higher token or does no harm. Every answer that renews a worker's
// lease carries them from the first on. Were they left out until the machine is
// fenced, a holder that knows a job to be cancelled could renew the lease under
// its tasks just before it must fall silent, and they would outlast the time for
// cancelling by as long as the cancellation was known.
func (h *holder) stopCommands(x *holding) []protocol.Command {
	cmds := []protocol.Command{}
	for _, ref := range refs(x.attempts) {
		if a := x.attempts[ref]; a.live() && a.stop {
			cmds = append(cmds, a.stopCommand(h.n.now()))
		}
	}
	return cmds
}

// stopCommand is the stop of an attempt, which is sent now.
func (a *attempt) stopCommand(now time.Duration) protocol.Command {
	grace := a.grace
	a.stopSentAt = now
	return protocol.Command{Verb: protocol.VerbStop, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.try, GraceS: &grace}
}

// commandsFor works out the difference between what should be on a machine and what
// its last report showed.
func (h *holder) commandsFor(x *holding) []protocol.Command {
	if !x.busy {
		return []protocol.Command{}
	}
	if !x.fenced || !h.n.entitled(x.shard) {
		return h.stopCommands(x)
	}
	cmds, reaps := h.commandsForUnexpected(x)
	// After a reap the worker has forgotten the attempt, and a start of it that
	// was repeated or held back on the way would run it again. So a reap always
	// goes out under a higher token than any start before it.
	if reaps && x.sent >= x.token {
		x.token++
	}
	list := make([]*attempt, 0, len(x.attempts))
	for _, a := range x.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(compareBool(b.stop, a.stop), cmp.Compare(a.planned, b.planned), cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task))
	})
	for _, a := range list {
		if c, needed := h.commandFor(x, a); needed {
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// commandsForUnexpected are the commands for what is on a machine and nobody asked for
// any more; reaps is whether anything that has ended is to be forgotten.
func (h *holder) commandsForUnexpected(x *holding) (cmds []protocol.Command, reaps bool) {
	cmds = []protocol.Command{}
	if !x.reapDue(h.n.now()) && !h.startable(x) {
		return cmds, false
	}
	atOnce := 0.0
	for _, t := range x.unexpected {
		if t.State == protocol.TaskEnded {
			reaps = true
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbReap, Task: t.Task, Attempt: t.Attempt})
		} else {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &atOnce})
		}
	}
	return cmds, reaps
}

// commandFor is the command that an attempt on a machine needs, if any. One that is to
// stop and was never told to start ends here.
func (h *holder) commandFor(x *holding, a *attempt) (c protocol.Command, needed bool) {
	now := h.n.now()
	switch {
	case !a.live():
		return c, false
	case a.stop:
		if a.state == taskPlanned && a.token == 0 {
			h.end(a, "not started") // no start was ever sent
			return c, false
		}
		if a.state == taskPlanned && a.token >= x.token {
			x.token = a.token + 1 // so that its absence will prove something
		}
		return a.stopCommand(now), true
	case a.state == taskPlanned && a.durable() && a.job.Wanted() && !a.inherited:
		if a.token == 0 {
			a.sentAt = now
		}
		a.token, a.session = x.token, x.session
		x.sent = x.token
		return protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.try}, true
	}
	return c, false
}

// Completed tasks stay on their machine's list until they are reaped. Each reap is
// a change that the worker reports at once, so they wait for a command that goes
// there anyway, for company, or for so long.
const (
	reapAfter = 10 * time.Second
	reapMany  = 8
)

// reapDue reports whether what nobody asked for must go from a machine now:
// anything but a few tasks that completed a moment ago.
func (x *holding) reapDue(now time.Duration) bool {
	if len(x.unexpected) == 0 {
		return false
	}
	return len(x.unexpected) >= reapMany || now-x.reapFrom >= reapAfter ||
		slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool {
			return t.State != protocol.TaskEnded || t.Cause != protocol.CauseDone
		})
}

// push sends a machine its commands at once instead of with its next report.
func (h *holder) push(x *holding) {
	n := h.n
	if x.inFlight {
		x.again = true
		return
	}
	if n.now() < x.noCommandsBefore || x.addr == "" || !x.m.There() {
		return
	}
	cmds := h.commandsFor(x)
	// Without a command it still shows the token to a machine that is new here.
	if len(cmds) == 0 && (x.fenced || !n.entitled(x.shard)) {
		return
	}
	x.inFlight, x.again, x.pushed = true, false, n.now()
	o := protocol.CommandRequest{Token: x.token, Session: x.session, Commands: cmds}
	n.Workers.Command(x.addr, o, func(r *protocol.Report, done bool, err error) {
		x.inFlight = false
		if h.machines[x.m.Name] != x || n.hold != h {
			return
		}
		if err != nil {
			// Whether it was carried out is open; the next report will tell.
			n.Log.Debug("no answer to commands", "machine", x.m.Name, "err", err)
			x.noCommandsBefore = n.now() + n.jitter(time.Second)
			return
		}
		if r.Machine != x.m.Name || r.Token > x.token {
			return
		}
		n.heardFrom[x.shard] = n.now()
		stale := !done && r.Session != o.Session
		h.report(x, r, false)
		if x.again || stale {
			h.push(x)
		}
	})
}

// unsettled reports whether a machine has tasks that nobody asked for, or a
// stop that still needs its proof.
func (h *holder) unsettled(x *holding) bool {
	// Ended ones are reaped with the next answer or start; that is soon enough.
	if slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded }) {
		return true
	}
	for _, a := range x.attempts {
		if a.live() && a.stop && a.state == taskPlanned {
			return true
		}
	}
	return false
}

// startable reports whether a start waits to be sent that was not sent yet, or
// an order that has gone unheeded.
func (h *holder) startable(x *holding) bool {
	now := h.n.now()
	for _, a := range x.attempts {
		if !a.live() {
			continue
		}
		if a.state == taskPlanned && !a.stop && a.token == 0 && a.durable() {
			return true
		}
		if a.unheeded(now) {
			return true
		}
	}
	return false
}

// unheeded reports whether a stop is to be sent, or to be repeated.
func (a *attempt) unheeded(now time.Duration) bool {
	return a.live() && a.stop && (a.stopSentAt == 0 || now-a.stopSentAt > 2*time.Second && a.state != taskSaving)
}

// unheeded reports whether any stop on a machine is.
func (h *holder) unheeded(x *holding) bool {
	now := h.n.now()
	for _, a := range x.attempts {
		if a.unheeded(now) {
			return true
		}
	}
	return false
}

// drainCheckEvery is the time between two looks at what must leave its machine: what
// they look for takes seconds, and passes come many times a second.
const drainCheckEvery = 200 * time.Millisecond

// stopForDrains decides which tasks must leave: those of a machine that the cloud takes
// and which can save in time, and services of machines that go back.
func (h *holder) stopForDrains() {
	now := h.n.now()
	if now < h.drainCheckAt {
		return
	}
	h.drainCheckAt = now + drainCheckEvery
	for _, x := range h.list {
		if x.m.Phase == bookkeeping.PhaseDrain {
			h.writers[x.shard].writeFor(x)
		}
	}
	wanted := slices.ContainsFunc(h.list, func(x *holding) bool {
		return x.notice > 0 || x.m.Phase == bookkeeping.PhaseDrain && x.services > 0
	})
	if !wanted {
		return
	}
	moving := false
	machines := h.list
	for _, x := range machines {
		for _, a := range x.attempts {
			left := (x.notice - now).Seconds()
			if left > 0 && a.state == taskRunning && !a.stop && a.job.CheckpointS > 0 && a.job.SaveS < left && left < a.job.SaveS+3 {
				a.stop, a.grace, x.busy = true, a.job.SaveS, true
			}
			moving = moving || a.live() && a.job.Standing() && (a.stop || a.state != taskRunning)
		}
	}
	// Replicas move one at a time, and only to room that is free now on a machine
	// that has their image, so that a move costs no more than a stop and a start.
	for _, x := range machines {
		if moving || x.m.Phase != bookkeeping.PhaseDrain || !h.n.entitled(x.shard) || !x.fenced {
			continue
		}
		for _, ref := range refs(x.attempts) {
			a := x.attempts[ref]
			if a.state != taskRunning || a.stop || !a.job.Standing() {
				continue
			}
			to := h.choose(machines, a.job, a.task, now)
			if to == nil {
				continue
			}
			if _, cached := to.images[a.job.ImageIdx]; cached {
				h.n.Log.Info("move", "job", a.job.ID, "task", a.task, "from", x.m.Name, "to", to.m.Name)
				a.stop, a.grace, moving, x.busy = true, a.job.SaveS, true, true
				break
			}
		}
	}
}
