package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// workerLink is a process's way to the workers.
type agentLink struct{ p *process }

// Command implements coordination.Workers.
func (l agentLink) Execute(addr string, o protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	s := l.p.h.s
	s.trace.sentJSON(l.p.h.name, "command "+addr, o)
	fail := func() {
		s.after(2*time.Second, l.p.guard(func() { done(nil, false, protocol.ErrOutcomeUnknown) }))
	}
	for _, w := range s.agents {
		if w.r.Address != addr {
			continue
		}
		if !s.reach(l.p.h, w) {
			break
		}
		if w.cut || w.hangs() {
			// Held back, and carried out once the cut ends.
			w.held = append(w.held, func() { w.direct(o) })
			break
		}
		if s.lateCommands > 0 && s.rand.Float64() < s.lateCommands {
			// Held up on its way, and carried out once if token and session still match.
			late := s.lateLeast + time.Duration(s.rand.Int64N(int64(s.lateMost-s.lateLeast)+1))
			s.noteFault("delayed-command", late)
			s.after(late, func() {
				if !w.dead && !w.hangs() {
					w.direct(o)
				}
			})
			break
		}
		there, back := s.delay(), time.Duration(0)
		if s.drag > 0 && s.rand.Float64() < s.drag {
			// Held up on its way there or back; the sender may give up meanwhile.
			s.noteFault("command-latency", s.dragMost)
			d := time.Duration(s.rand.Int64N(int64(s.dragMost)))
			if s.rand.IntN(2) == 0 {
				there += d
			} else {
				back += d
			}
		}
		given := there+back > 2*time.Second
		if given {
			fail()
		}
		s.after(there, func() {
			if w.dead || w.cut || w.deaf || w.hangs() {
				if !given {
					fail()
				}
				return
			}
			r, ok := w.direct(o)
			if s.rand.Float64() < s.echo {
				// A late copy of a request that was carried out.
				s.after(time.Duration(s.rand.Int64N(int64(20*time.Second))), func() {
					if !w.dead {
						w.direct(o)
					}
				})
			}
			if !given {
				s.after(back+s.delay(), l.p.guard(func() { done(r, ok, nil) }))
			}
		})
		return
	}
	fail()
}
