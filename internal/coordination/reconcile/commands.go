package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// stopCommands are the stops of all that must leave a machine. They need no fence and no
// entitlement: a stop that comes too late or from one that holds the machine no
// longer meets a higher token or does no harm. Every answer that renews a worker's
// lease carries them from the first on. Were they left out until the machine is
// fenced, a holder that knows a job to be cancelled could renew the lease under
// its tasks just before it must fall silent, and they would outlast the time for
// cancelling by as long as the cancellation was known.
func (h *Reconciler) stopCommands(x *agent) []protocol.Command {
	cmds := []protocol.Command{}
	for _, ref := range storage.SortedTasks(x.attempts) {
		if a := x.attempts[ref]; a.live() && a.stopRequested {
			cmds = append(cmds, a.stopCommand(h.now()))
		}
	}
	return cmds
}

// stopCommand is the stop of an attempt, which is sent now.
func (a *attempt) stopCommand(now time.Duration) protocol.Command {
	grace := a.graceSeconds
	a.stopSentAt = now
	return protocol.Command{Verb: protocol.VerbStop, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number, GraceSeconds: &grace}
}

// commandsFor works out the difference between what should be on a machine and what
// its last report showed.
func (h *Reconciler) commandsFor(x *agent) []protocol.Command {
	if !x.needsAttention {
		return []protocol.Command{}
	}
	if !x.fenceConfirmed || !h.Leases.MayActFor(x.shard) {
		return h.stopCommands(x)
	}
	cmds, reaps := h.commandsForUnexpected(x)
	// After a reap the worker has forgotten the attempt, and a start of it that
	// was repeated or held back on the way would run it again. So a reap always
	// goes out under a higher token than any start before it.
	if reaps && x.highestStartToken >= x.currentToken {
		x.currentToken++
	}
	list := make([]*attempt, 0, len(x.attempts))
	for _, a := range x.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(placement.CompareBool(b.stopRequested, a.stopRequested), cmp.Compare(a.plannedAt, b.plannedAt), cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task))
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
func (h *Reconciler) commandsForUnexpected(x *agent) (cmds []protocol.Command, reaps bool) {
	cmds = []protocol.Command{}
	if !x.reapDue(h.now()) && !h.hasUnsentCommands(x) {
		return cmds, false
	}
	atOnce := 0.0
	for _, t := range x.unexpected {
		if t.State == protocol.TaskEnded {
			reaps = true
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbReap, Task: t.Task, Attempt: t.Attempt})
		} else {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceSeconds: &atOnce})
		}
	}
	return cmds, reaps
}

// commandFor is the command that an attempt on a machine needs, if any. One that is to
// stop and was never told to start ends here.
func (h *Reconciler) commandFor(x *agent, a *attempt) (c protocol.Command, needed bool) {
	now := h.now()
	switch {
	case !a.live():
		return c, false
	case a.stopRequested:
		if a.state == taskPlanned && a.startToken == 0 {
			h.end(a, "not started") // no start was ever sent
			return c, false
		}
		if a.state == taskPlanned && a.startToken >= x.currentToken {
			x.currentToken = a.startToken + 1 // so that its absence will prove something
		}
		return a.stopCommand(now), true
	case a.state == taskPlanned && a.durable() && a.job.Active() && !a.inherited:
		if a.startToken == 0 {
			a.startSentAt = now
		}
		a.startToken, a.startEpoch = x.currentToken, x.epoch
		x.highestStartToken = x.currentToken
		return protocol.Command{Verb: protocol.VerbStart, Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.number}, true
	}
	return c, false
}

// Completed tasks stay on their machine's list until they are reaped. Each reap is
// a change that the worker reports at once, so they wait for a command that goes
// there anyway, for company, or for so long.
const (
	reapAfter = 10 * time.Second
	reapBatch = 8
)

// reapDue reports whether what nobody asked for must go from a machine now:
// anything but a few tasks that completed a moment ago.
func (x *agent) reapDue(now time.Duration) bool {
	if len(x.unexpected) == 0 {
		return false
	}
	return len(x.unexpected) >= reapBatch || now-x.reapableSince >= reapAfter ||
		slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool {
			return t.State != protocol.TaskEnded || t.Cause != protocol.CauseDone
		})
}

// push sends a machine its commands at once instead of with its next report.
func (h *Reconciler) sendCommands(x *agent) {
	if x.commandsInFlight {
		x.sendAgain = true
		return
	}
	if h.now() < x.noCommandsBefore || x.address == "" || !x.machine.Exists() {
		return
	}
	cmds := h.commandsFor(x)
	// Without a command it still shows the token to a machine that is new here.
	if len(cmds) == 0 && (x.fenceConfirmed || !h.Leases.MayActFor(x.shard)) {
		return
	}
	x.commandsInFlight, x.sendAgain, x.commandsSentAt = true, false, h.now()
	o := protocol.CommandRequest{FencingToken: x.currentToken, Epoch: x.epoch, Commands: cmds}
	h.Agents.Execute(x.address, o, func(r *protocol.AgentHeartbeat, done bool, err error) {
		x.commandsInFlight = false
		if h.agents[x.machine.Name] != x || h.Generation.Ended() {
			return
		}
		if err != nil {
			// Whether it was carried out is open; the next report will tell.
			h.Log.Debug("no answer to commands", "machine", x.machine.Name, "err", err)
			x.noCommandsBefore = h.now() + h.Generation.Jitter(time.Second)
			return
		}
		if r.Machine != x.machine.Name || r.FencingToken > x.currentToken {
			return
		}
		h.Leases.NoteAgentHeard(x.shard)
		stale := !done && r.Epoch != o.Epoch
		h.onHeartbeat(x, r, false)
		if x.sendAgain || stale {
			h.sendCommands(x)
		}
	})
}

// unsettled reports whether a machine has tasks that nobody asked for, or a
// stop that still needs its proof.
func (h *Reconciler) needsResolution(x *agent) bool {
	// Ended ones are reaped with the next answer or start; that is soon enough.
	if slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded }) {
		return true
	}
	for _, a := range x.attempts {
		if a.live() && a.stopRequested && a.state == taskPlanned {
			return true
		}
	}
	return false
}

// startable reports whether a start waits to be sent that was not sent yet, or
// an order that has gone unheeded.
func (h *Reconciler) hasUnsentCommands(x *agent) bool {
	now := h.now()
	for _, a := range x.attempts {
		if !a.live() {
			continue
		}
		if a.state == taskPlanned && !a.stopRequested && a.startToken == 0 && a.durable() {
			return true
		}
		if a.stopDue(now) {
			return true
		}
	}
	return false
}

// unheeded reports whether a stop is to be sent, or to be repeated.
func (a *attempt) stopDue(now time.Duration) bool {
	return a.live() && a.stopRequested && (a.stopSentAt == 0 || now-a.stopSentAt > 2*time.Second && a.state != taskSaving)
}

// unheeded reports whether any stop on a machine is.
func (h *Reconciler) hasDueStops(x *agent) bool {
	now := h.now()
	for _, a := range x.attempts {
		if a.stopDue(now) {
			return true
		}
	}
	return false
}

// drainCheckEvery is the time between two looks at what must leave its machine: what
// they look for takes seconds, and passes come many times a second.
const drainCheckInterval = 200 * time.Millisecond

// stopForDrains decides which tasks must leave: those of a machine that the cloud takes
// and which can save in time, and services of machines that go back.
func (h *Reconciler) evictForDrains() {
	now := h.now()
	if now < h.nextDrainCheckAt {
		return
	}
	h.nextDrainCheckAt = now + drainCheckInterval
	for _, x := range h.sortedAgents {
		if x.machine.Phase == storage.PhaseDraining {
			h.writers[x.shard].markPagesNaming(x)
		}
	}
	wanted := slices.ContainsFunc(h.sortedAgents, func(x *agent) bool {
		return x.terminationAt > 0 || x.machine.Phase == storage.PhaseDraining && x.serviceCPUs > 0
	})
	if !wanted {
		return
	}
	moving := false
	machines, p := h.sortedAgents, &placer{reconciler: h, now: now}
	for _, x := range machines {
		for _, a := range x.attempts {
			left := (x.terminationAt - now).Seconds()
			if left > 0 && a.state == taskRunning && !a.stopRequested && a.job.CheckpointSeconds > 0 && a.job.SaveSeconds < left && left < a.job.SaveSeconds+3 {
				a.stopRequested, a.graceSeconds, x.needsAttention = true, a.job.SaveSeconds, true
			}
			moving = moving || a.live() && a.job.IsService() && (a.stopRequested || a.state != taskRunning)
		}
	}
	// Replicas move one at a time, and only to room that is free now on a machine
	// that has their image, so that a move costs no more than a stop and a start.
	for _, x := range machines {
		if moving || x.machine.Phase != storage.PhaseDraining || !h.Leases.MayActFor(x.shard) || !x.fenceConfirmed {
			continue
		}
		for _, ref := range storage.SortedTasks(x.attempts) {
			a := x.attempts[ref]
			if a.state != taskRunning || a.stopRequested || !a.job.IsService() {
				continue
			}
			to, found := placement.Choose(placement.Fleet[*agent](p), machines, a.job, a.task, a.progress.attemptsByZone)
			if !found {
				continue
			}
			if _, cached := to.imageWantedAt[a.job.ImageIndex]; cached {
				h.Log.Info("move", "job", a.job.ID, "task", a.task, "from", x.machine.Name, "to", to.machine.Name)
				a.stopRequested, a.graceSeconds, moving, x.needsAttention = true, a.job.SaveSeconds, true, true
				break
			}
		}
	}
}
