package scenario

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// span is a time during which a trouble lasted; a confirmed cancellation is one
// without length. Scenarios that bring a meeting of two troubles about show by
// them that both overlapped.
type span struct {
	name     string
	key      string // tells those apart that last at the same time
	from, to time.Duration
}

// trouble notes that a trouble lasts for so long from now on.
func (s *sim) trouble(name string, d time.Duration) {
	s.spans = append(s.spans, span{name: name, from: s.now, to: s.now + d})
}

// begins and ends note a trouble whose end is not known when it begins.
func (s *sim) begins(name, key string) {
	s.spans = append(s.spans, span{name: name, key: key, from: s.now, to: -1})
}

func (s *sim) ends(name, key string) {
	for i := range s.spans {
		if p := &s.spans[i]; p.name == name && p.key == key && p.to < 0 {
			p.to = s.now
		}
	}
}

// apart cuts a zone off from everything else: its machines and the controllers
// in it reach each other and nobody more. What is on its way is lost.
func (s *sim) apart(zone string, d time.Duration) {
	s.trouble("zone-cut", d)
	s.cutZone = zone
	for _, h := range s.nodes {
		if h.zone == zone {
			h.cut("state", true)
			h.cut("peers", true)
		}
	}
	s.after(d, func() {
		s.cutZone = ""
		for _, h := range s.nodes {
			if h.zone == zone {
				h.cut("state", false)
				h.cut("peers", false)
			}
		}
	})
}

// reach reports whether messages pass between a controller and a machine.
func (s *sim) reach(h *host, w *worker) bool {
	return !h.noWorkers && (s.cutZone == "" || (h.zone == s.cutZone) == (w.r.Zone == s.cutZone))
}

// meet reports how often two troubles overlapped.
func (s *sim) meet(a, b string) int {
	n := 0
	for _, x := range s.spans {
		for _, y := range s.spans {
			if x.name != a || y.name != b || x == y {
				continue
			}
			endX, endY := x.to, y.to
			if endX < 0 {
				endX = s.now
			}
			if endY < 0 {
				endY = s.now
			}
			if max(x.from, y.from) <= min(endX, endY) {
				n++
			}
		}
	}
	return n
}

// cancelNow lets users call off so many arrays that run, the last begun first, and
// up to eight of their machines hang for a while.
func (u *users) cancelNow(count int, hang time.Duration) {
	s := u.s
	var running []*userJob
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if j := u.jobs[id]; j.spec.Kind == protocol.KindArray && j.accepted && !j.asked && j.final == "" && len(s.check.machinesOf(id)) > 0 {
			running = append(running, j)
		}
	}
	slices.SortStableFunc(running, func(a, b *userJob) int { return int(b.beganAt - a.beganAt) })
	hung := 0
	for _, j := range running[:min(count, len(running))] {
		for _, x := range s.check.machinesOf(j.spec.ID) {
			if hang > 0 && hung < 8 && !x.hangs() {
				hung++
				s.trouble("hang", hang)
				x.hang(hang)
			}
		}
		s.after(time.Duration(s.rand.Int64N(int64(200*time.Millisecond))), func() { u.withdraw(j) })
	}
}

// lastEnded is called when the last task of a job completes: some users call the
// job off, or repeat its submission, at that very moment.
func (u *users) lastEnded(j *userJob) {
	if u.atEnd > 0 && u.s.rand.Float64() < u.atEnd && !j.asked {
		u.s.trouble("cancel-at-end", time.Second)
		u.withdraw(j)
		u.submit(j)
	}
}

// odd makes requests that users should not make: they repeat submissions of
// unfinished jobs, call off what is done, and send what fits no machine, lacks a
// field or is malformed.
func (u *users) odd(until time.Duration) {
	s := u.s
	if s.now > until {
		return
	}
	s.after(500*time.Millisecond, func() { u.odd(until) })
	ids := slices.Sorted(maps.Keys(u.jobs))
	if len(ids) == 0 {
		return
	}
	j := u.jobs[ids[s.rand.IntN(len(ids))]]
	switch {
	case !j.accepted:
	case j.final == "":
		u.submit(j)
	default:
		u.withdrawOver(j)
	}
	u.oddID++
	good := userJob{spec: j.spec}
	good.spec.ID = fmt.Sprintf("run-9%06d", u.oddID)
	body := string(u.body(&good))
	bad := []string{
		strings.Replace(body, `"vcpus":`, `"vcpus":9000,"x":`, 1),
		strings.Replace(body, `"rank":`, `"rang":`, 1),
		strings.Replace(body, `"pieces":`, `"pieces":0,"x":`, 1),
		strings.Replace(body, `"crew":`, `"crew":"nobody","x":`, 1),
		strings.Replace(body, good.spec.ID, "job "+good.spec.ID, 1),
		body[:len(body)/2],
		"[" + body + "]",
		strings.Repeat(" ", protocol.MaxBody) + body,
	}[u.oddID%8]
	u.ask(func(n *coordination.Node, reply func(coordination.Answer)) { n.Submit([]byte(bad), reply) }, func(a coordination.Answer) {
		if a.Status == http.StatusOK || a.Status == http.StatusCreated {
			s.check.breach("accepted_bad", "%.60q is answered %d", bad, a.Status)
		}
	})
}

// withdrawOver calls off a job that is over.
func (u *users) withdrawOver(j *userJob) {
	final := j.final
	u.ask(func(n *coordination.Node, reply func(coordination.Answer)) { n.Withdraw(j.spec.ID, reply) }, func(a coordination.Answer) {
		switch a.Status {
		case http.StatusOK:
			u.s.check.told(j.spec.ID, j, final, a.Body.(protocol.Receipt).Stage)
		case http.StatusNotFound:
			u.s.check.refused(j.spec.ID, j, a.Status)
		}
	})
}

// machinesOf lists the machines that tasks of a job are on.
func (c *checker) machinesOf(id string) []*worker {
	var out []*worker
	for _, task := range slices.Sorted(maps.Keys(c.on)) {
		if job, _, err := protocol.SplitTask(task); err == nil && job == id {
			out = append(out, c.on[task]...)
		}
	}
	return out
}

// waitsAtMost is how long a job may wait once all troubles are over while a
// machine that fits has room and its team is under its limit.
const waitsAtMost = 90 * time.Second

// idle looks for jobs that wait for nothing.
func (c *checker) idle() {
	s := c.s
	for _, id := range slices.Sorted(maps.Keys(s.users.jobs)) {
		j := s.users.jobs[id]
		if !j.accepted || j.asked || j.final != "" || len(c.machinesOf(id)) > 0 || !c.room(j) {
			j.idleSince = 0
			continue
		}
		if j.idleSince == 0 {
			j.idleSince = max(s.now, 1)
		}
		if s.now-j.idleSince > waitsAtMost {
			c.breach("left_waiting", "%s waits since %s while there is room", id, j.idleSince)
			j.idleSince = 0
		}
	}
}

// room reports whether a task of a job, of which none runs, could start somewhere.
func (c *checker) room(j *userJob) bool {
	s := c.s
	used := 0.0
	fits := false
	for _, w := range s.workers {
		cpus, mem := w.t.CPUs, w.t.MemoryGB
		for _, o := range w.tasks {
			if o.State != protocol.TaskEnded && o.spec != nil {
				cpus -= o.spec.CPUs
				mem -= o.spec.MemoryGB
				if o.spec.Team == j.spec.Team {
					used += o.spec.CPUs
				}
			}
		}
		p := &j.spec
		if p.CPUs <= cpus+1e-6 && p.MemoryGB <= mem+1e-6 && (p.Spot || !w.r.Spot) && (p.Zone == "" || p.Zone == w.r.Zone) &&
			(len(p.Types) == 0 || slices.Contains(p.Types, w.r.Type)) && !w.cut && !w.deaf && !w.mute && !w.faulty && w.warn == 0 && !w.hangs() {
			fits = true
		}
	}
	for _, t := range s.cluster.Teams {
		if t.Name == j.spec.Team && t.CPUsMax > 0 && used+j.spec.CPUs > t.CPUsMax+1e-6 {
			return false
		}
	}
	return fits && !j.broken
}
