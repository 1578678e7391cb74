package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

const (
	// cloudTimeout is how long a process waits for an answer that the cloud never sends.
	cloudTimeout = 5 * time.Second
	// cloudAnswerDelay is the time until an answer of the cloud arrives.
	cloudAnswerDelay = 50 * time.Millisecond
)

// cloudLink connects a controller process to the cloud.
type cloudLink struct{ process *process }

func (l cloudLink) traceSent(kind string, message any) {
	l.process.host.sim.trace.recordJSON(l.process.host.name, kind, message)
}

// call sends a request. serve executes the request and returns the callback for the arrival
// of its answer. failed is called instead if the request or the answer is lost.
func (l cloudLink) call(serve func(cloud *fakeCloud) func(), failed func(error)) {
	sim := l.process.host.sim
	cloud := sim.cloud
	cloud.calls++
	sim.after(sim.latency(), func() {
		if cloud.outage {
			sim.after(sim.latency(), l.process.guard(func() { failed(protocol.ErrNotExecuted) }))
			return
		}
		answer := serve(cloud)
		if sim.rand.Float64() < cloud.lostAnswerShare {
			sim.after(cloudTimeout, l.process.guard(func() { failed(protocol.ErrOutcomeUnknown) }))
			return
		}
		sim.after(cloudAnswerDelay, l.process.guard(answer))
	})
}

// MachineTypes implements provisioning.Cloud.
func (l cloudLink) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	l.traceSent("machine types", nil)
	l.call(func(cloud *fakeCloud) func() {
		return func() { done(protocol.MachineTypeCatalogue{Types: cloud.types}, nil) }
	}, func(err error) { done(protocol.MachineTypeCatalogue{}, err) })
}

// CreateMachines implements provisioning.Cloud.
func (l cloudLink) CreateMachines(request protocol.CreateMachinesRequest, done func([]string, error)) {
	l.traceSent("rent", request)
	l.call(func(cloud *fakeCloud) func() {
		names, err := cloud.create(request)
		return func() { done(names, err) }
	}, func(err error) { done(nil, err) })
}

// DeleteMachines implements provisioning.Cloud.
func (l cloudLink) DeleteMachines(names []string, done func(error)) {
	l.traceSent("delete", names)
	l.call(func(cloud *fakeCloud) func() {
		cloud.delete(names)
		return func() { done(nil) }
	}, done)
}

// ListMachines implements provisioning.Cloud.
func (l cloudLink) ListMachines(done func([]protocol.CloudMachine, error)) {
	l.traceSent("list machines", nil)
	l.call(func(cloud *fakeCloud) func() {
		list := cloud.list()
		return func() { done(list, nil) }
	}, func(err error) { done(nil, err) })
}
