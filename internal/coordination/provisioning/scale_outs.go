package provisioning

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// scaleOutRetryPause is the least pause before a request without an answer is repeated.
	scaleOutRetryPause = 500 * time.Millisecond
	// A pool that had no machines is not asked for a while, longer each time.
	minRefusalPause = 5 * time.Second
	maxRefusalPause = 20 * time.Second
)

// scaleOutCall is a request for machines whose answer is not known. It keeps its name until
// it has been answered, and no name is ever used for another.
type scaleOutCall struct {
	protocol.CreateMachinesRequest
	loop.Call
	shard int
}

// refusal is that a pool had no machines.
type refusal struct {
	until time.Duration
	pause time.Duration
}

// scaleOuts asks the cloud for machines.
type scaleOuts struct {
	*Config
	adoptions *adoptions
	// onRefused is called when the cloud has no machines of a pool.
	onRefused func()

	calls    []*scaleOutCall
	counter  int // of the calls of this leadership
	refusals map[autoscaler.Pool]refusal
}

func newScaleOuts(c *Config, a *adoptions, onRefused func()) *scaleOuts {
	return &scaleOuts{Config: c, adoptions: a, onRefused: onRefused, refusals: map[autoscaler.Pool]refusal{}}
}

// add begins a request for machines under a name that is never used for another.
func (s *scaleOuts) add(scaleOut autoscaler.ScaleOut) *scaleOutCall {
	view := s.view()
	s.counter++
	call := &scaleOutCall{shard: scaleOut.Shard, CreateMachinesRequest: protocol.CreateMachinesRequest{
		Request: fmt.Sprintf("r-%d-%d-%d", s.Leadership.Term(), s.Replica.Incarnation, s.counter),
		Type:    view.MachineTypeNames.Name(scaleOut.MachineType),
		Zone:    view.ZoneNames.Name(scaleOut.Zone),
		Spot:    scaleOut.Spot,
		Count:   scaleOut.Count,
	}}
	s.calls = append(s.calls, call)
	return call
}

// send sends requests, and repeats those that had no answer.
func (s *scaleOuts) send(now time.Duration) {
	for _, call := range s.calls {
		if call.TryBegin(now) {
			s.Cloud.CreateMachines(call.CreateMachinesRequest, func(names []string, err error) {
				s.onAnswer(call, names, err)
			})
		}
	}
}

func (s *scaleOuts) onAnswer(call *scaleOutCall, names []string, err error) {
	call.Finish()
	switch {
	case err == nil:
		s.onCreated(call, names)
	case errors.Is(err, protocol.ErrNoCapacity):
		s.refuse(s.poolOf(call))
		s.drop(call)
		s.onRefused() // the demand goes to the next pool at once
	case errors.Is(err, protocol.ErrOutcomeUnknown):
		s.Log.Info("creation not answered", "request", call.Request, "count", call.Count, "type", call.Type, "zone", call.Zone, "spot", call.Spot,
			"shard", call.shard, "term", s.Leadership.Term(), "err", err)
		call.RetryAt(s.now() + s.Generation.Jitter(scaleOutRetryPause))
	default:
		s.Log.Debug("machines not created", "err", err)
		s.drop(call)
	}
}

// onCreated records the machines that a request has created.
func (s *scaleOuts) onCreated(call *scaleOutCall, names []string) {
	pool := s.poolOf(call)
	s.Log.Info("machines created", "request", call.Request, "machines", names, "shard", call.shard, "count", len(names), "type", call.Type, "zone", call.Zone, "spot", call.Spot, "term", s.Leadership.Term())
	s.adoptions.addCreated(storage.MachineGroupRecord{
		Type: call.Type, Zone: call.Zone, Spot: call.Spot, Shard: call.shard, RentedAtMS: s.wallMS(),
	}, names)
	if len(names) < call.Count {
		s.refuse(pool)
	} else {
		delete(s.refusals, pool)
	}
	s.drop(call)
	if s.Leadership.Current() {
		s.adoptions.write()
	}
}

// poolOf is the pool from which a request takes machines.
func (s *scaleOuts) poolOf(call *scaleOutCall) autoscaler.Pool {
	view := s.view()
	return autoscaler.Pool{MachineType: view.MachineTypeNames.Lookup(call.Type), Zone: view.ZoneNames.Lookup(call.Zone), Spot: call.Spot}
}

// drop forgets a request that was answered.
func (s *scaleOuts) drop(call *scaleOutCall) {
	s.calls = slices.DeleteFunc(s.calls, func(other *scaleOutCall) bool { return other == call })
}

// refuse remembers that a pool has no machines, for longer each time.
func (s *scaleOuts) refuse(pool autoscaler.Pool) {
	r := s.refusals[pool]
	r.pause = min(max(2*r.pause, minRefusalPause), maxRefusalPause)
	r.until = s.now() + r.pause
	s.refusals[pool] = r
}

// refused reports whether a pool had no machines a moment ago.
func (s *scaleOuts) refused(pool autoscaler.Pool, now time.Duration) bool {
	return now < s.refusals[pool].until
}

// supplies are the machines that were asked for.
func (s *scaleOuts) supplies() []*autoscaler.Supply {
	var supplies []*autoscaler.Supply
	for _, call := range s.calls {
		for range call.Count {
			supplies = append(supplies, s.pendingSupply(call.Type, call.Zone, call.Spot, call.shard))
		}
	}
	return supplies
}
