package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

type poolName struct {
	typ, zone string
	spot      bool
}

// cloud is the stand-in for the cloud.
type cloud struct {
	s        *sim
	types    []protocol.MachineType
	capacity map[poolName]int
	rented   []*rented
	next     int
	asks     map[string][]string
	outage   bool
	calls    int
	lose     float64 // share of answers that are lost, the request being carried out
	noBoot   int     // so many of the next machines never come up
}

type rented struct {
	protocol.CloudMachine
	poolName
	at      time.Duration
	gone    bool
	history []seen
}

// seen is how a machine stood from a time on; lists are as old as the lag.
type seen struct {
	at    time.Duration
	stage string // "" once it is gone
}

func (c *cloud) find(name string) *rented {
	for _, r := range c.rented {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (r *rented) set(now time.Duration, stage string) {
	r.history = append(r.history, seen{now, stage})
}

func (c *cloud) rent(q protocol.CreateMachinesRequest) ([]string, error) {
	if names, ok := c.asks[q.Request]; ok {
		return names, nil
	}
	p := poolName{q.Type, q.Zone, q.Spot}
	free := c.capacity[p]
	for _, r := range c.rented {
		if r.poolName == p && !r.gone {
			free--
		}
	}
	n := min(free, q.Count)
	if n <= 0 {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range n {
		r := &rented{poolName: p, at: c.s.now}
		r.CloudMachine = protocol.CloudMachine{Name: fmt.Sprintf("m-%06d", c.next), Address: fmt.Sprintf("w:%d", c.next), Type: q.Type, Zone: q.Zone, Spot: q.Spot}
		c.next++
		c.rented = append(c.rented, r)
		r.set(c.s.now, protocol.MachineBooting)
		names = append(names, r.Name)
		if c.noBoot > 0 {
			c.noBoot--
			continue
		}
		i := slices.IndexFunc(c.types, func(t protocol.MachineType) bool { return t.Name == q.Type })
		boot := time.Duration(c.types[i].BootSeconds * (0.6 + 0.9*c.s.rand.Float64()) * float64(time.Second))
		c.s.after(boot, func() {
			if !r.gone {
				r.set(c.s.now, protocol.MachineRunning)
				newAgent(c.s, r, &c.types[i])
			}
		})
	}
	c.asks[q.Request] = names
	return names, nil
}

func (c *cloud) delete(names []string) {
	for _, name := range names {
		if r := c.find(name); r != nil && !r.gone {
			r.gone = true
			r.set(c.s.now, "")
			if w := c.s.agents[name]; w != nil {
				w.kill()
			}
		}
	}
}

// die lets a machine stop by itself; the list notices later.
func (c *cloud) die(name string) {
	r := c.find(name)
	if r == nil || r.gone {
		return
	}
	if w := c.s.agents[name]; w != nil {
		w.kill()
	}
	c.s.after(30*time.Second, func() {
		if !r.gone {
			r.set(c.s.now, protocol.MachineFailed)
		}
	})
}

func (c *cloud) list() []protocol.CloudMachine {
	lag := time.Duration(c.s.cluster.Cloud.ListLagSeconds * (0.5 + 1.5*c.s.rand.Float64()) * float64(time.Second))
	asOf := c.s.now - lag
	var out []protocol.CloudMachine
	for _, r := range c.rented {
		stage := ""
		for _, h := range r.history {
			if h.at <= asOf {
				stage = h.stage
			}
		}
		if stage != "" {
			m := r.CloudMachine
			m.Stage, m.AgeSeconds = stage, (asOf - r.at).Seconds()
			out = append(out, m)
		}
	}
	return out
}

// cloudLink is a process's way to the cloud.
type cloudLink struct{ p *process }

func (l cloudLink) sent(kind string, message any) {
	l.p.h.s.trace.sentJSON(l.p.h.name, kind, message)
}

func (l cloudLink) call(do func(c *cloud) func(), failed func(error)) {
	s := l.p.h.s
	s.cloud.calls++
	s.after(s.delay(), func() {
		if s.cloud.outage {
			s.after(s.delay(), l.p.guard(func() { failed(protocol.ErrNotExecuted) }))
			return
		}
		back := do(s.cloud)
		if s.rand.Float64() < s.cloud.lose {
			s.after(5*time.Second, l.p.guard(func() { failed(protocol.ErrOutcomeUnknown) }))
			return
		}
		s.after(50*time.Millisecond, l.p.guard(back))
	})
}

// Catalogue implements coordination.Cloud.
func (l cloudLink) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	l.sent("machine types", nil)
	l.call(func(c *cloud) func() {
		return func() { done(protocol.MachineTypeCatalogue{Types: c.types}, nil) }
	}, func(err error) { done(protocol.MachineTypeCatalogue{}, err) })
}

// Rent implements coordination.Cloud.
func (l cloudLink) CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error)) {
	l.sent("rent", r)
	l.call(func(c *cloud) func() {
		names, err := c.rent(r)
		return func() { done(names, err) }
	}, func(err error) { done(nil, err) })
}

// Delete implements coordination.Cloud.
func (l cloudLink) DeleteMachines(names []string, done func(error)) {
	l.sent("delete", names)
	l.call(func(c *cloud) func() {
		c.delete(names)
		return func() { done(nil) }
	}, done)
}

// List implements coordination.Cloud.
func (l cloudLink) ListMachines(done func([]protocol.CloudMachine, error)) {
	l.sent("list machines", nil)
	l.call(func(c *cloud) func() {
		list := c.list()
		return func() { done(list, nil) }
	}, func(err error) { done(nil, err) })
}
