package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// workerLink is a process's way to the workers.
type agentLink struct{ process *process }

// Command implements coordination.Workers.
func (l agentLink) Execute(addr string, o protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	sim := l.process.host.sim
	sim.trace.sentJSON(l.process.host.name, "command "+addr, o)
	fail := func() {
		sim.after(2*time.Second, l.process.guard(func() { done(nil, false, protocol.ErrOutcomeUnknown) }))
	}
	for _, w := range sim.agents {
		if w.machine.Address != addr {
			continue
		}
		if !sim.reachable(l.process.host, w) {
			break
		}
		if w.partitioned || w.isPaused() {
			// Held back, and carried out once the cut ends.
			w.heldBack = append(w.heldBack, func() { w.execute(o) })
			break
		}
		if sim.lateCommands > 0 && sim.rand.Float64() < sim.lateCommands {
			// Held up on its way, and carried out once if token and session still match.
			late := sim.lateLeast + time.Duration(sim.rand.Int64N(int64(sim.lateMost-sim.lateLeast)+1))
			sim.noteFault("delayed-command", late)
			sim.after(late, func() {
				if !w.dead && !w.isPaused() {
					w.execute(o)
				}
			})
			break
		}
		there, back := sim.delay(), time.Duration(0)
		if sim.drag > 0 && sim.rand.Float64() < sim.drag {
			// Held up on its way there or back; the sender may give up meanwhile.
			sim.noteFault("command-latency", sim.dragMost)
			d := time.Duration(sim.rand.Int64N(int64(sim.dragMost)))
			if sim.rand.IntN(2) == 0 {
				there += d
			} else {
				back += d
			}
		}
		given := there+back > 2*time.Second
		if given {
			fail()
		}
		sim.after(there, func() {
			if w.dead || w.partitioned || w.inboundPartition || w.isPaused() {
				if !given {
					fail()
				}
				return
			}
			r, ok := w.execute(o)
			if sim.rand.Float64() < sim.echo {
				// A late copy of a request that was carried out.
				sim.after(time.Duration(sim.rand.Int64N(int64(20*time.Second))), func() {
					if !w.dead {
						w.execute(o)
					}
				})
			}
			if !given {
				sim.after(back+sim.delay(), l.process.guard(func() { done(r, ok, nil) }))
			}
		})
		return
	}
	fail()
}
