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
	// scaleOutRetryDelay is the minimum delay before an unanswered request is retried.
	scaleOutRetryDelay = 500 * time.Millisecond
	// A pool without capacity gets no requests for a while. This backoff doubles with every
	// refusal, between these bounds.
	minRefusalBackoff = 5 * time.Second
	maxRefusalBackoff = 20 * time.Second
)

// scaleOutCall is a request for machines whose outcome is unknown. Retries use the same request
// name until it is answered, and no other request ever uses that name.
type scaleOutCall struct {
	protocol.CreateMachinesRequest
	loop.Call
	shard int
}

// refusal records that a pool had no capacity.
type refusal struct {
	until   time.Duration
	backoff time.Duration
}

// scaleOuts requests machines from the cloud.
type scaleOuts struct {
	*Config
	adoptions *adoptions
	// onRefused is called when a pool has no capacity.
	onRefused func()

	calls    []*scaleOutCall
	counter  int // number of requests made in this term
	refusals map[autoscaler.Pool]refusal
}

func newScaleOuts(c *Config, a *adoptions, onRefused func()) *scaleOuts {
	return &scaleOuts{Config: c, adoptions: a, onRefused: onRefused, refusals: map[autoscaler.Pool]refusal{}}
}

// add creates a request for machines with a unique name. The next send sends it.
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

// send sends new requests and retries those without an answer.
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
		s.recordRefusal(s.poolOf(call))
		s.remove(call)
		s.onRefused() // the next tick plans the demand for another pool
	case errors.Is(err, protocol.ErrOutcomeUnknown):
		s.Log.Info("machine creation unanswered", "request", call.Request, "count", call.Count, "type", call.Type, "zone", call.Zone, "spot", call.Spot,
			"shard", call.shard, "term", s.Leadership.Term(), "err", err)
		call.DelayUntil(s.now() + s.Generation.Jitter(scaleOutRetryDelay))
	default:
		s.Log.Debug("machine creation failed", "err", err)
		s.remove(call)
	}
}

// onCreated records the machines that a request created. A partial result counts as a refusal
// of the pool.
func (s *scaleOuts) onCreated(call *scaleOutCall, names []string) {
	pool := s.poolOf(call)
	s.Log.Info("machines created", "request", call.Request, "machines", names, "shard", call.shard, "count", len(names), "type", call.Type, "zone", call.Zone, "spot", call.Spot, "term", s.Leadership.Term())
	s.adoptions.addCreated(storage.MachineGroupRecord{
		Type: call.Type, Zone: call.Zone, Spot: call.Spot, Shard: call.shard, CreatedAtMS: s.wallMS(),
	}, names)
	if len(names) < call.Count {
		s.recordRefusal(pool)
	} else {
		delete(s.refusals, pool)
	}
	s.remove(call)
	if s.Leadership.Current() {
		s.adoptions.write()
	}
}

// poolOf returns the pool of a request.
func (s *scaleOuts) poolOf(call *scaleOutCall) autoscaler.Pool {
	view := s.view()
	return autoscaler.Pool{MachineType: view.MachineTypeNames.Lookup(call.Type), Zone: view.ZoneNames.Lookup(call.Zone), Spot: call.Spot}
}

// remove removes an answered request.
func (s *scaleOuts) remove(call *scaleOutCall) {
	s.calls = slices.DeleteFunc(s.calls, func(other *scaleOutCall) bool { return other == call })
}

// recordRefusal records that a pool has no capacity, and doubles the pool's backoff
// within its bounds.
func (s *scaleOuts) recordRefusal(pool autoscaler.Pool) {
	r := s.refusals[pool]
	r.backoff = min(max(2*r.backoff, minRefusalBackoff), maxRefusalBackoff)
	r.until = s.now() + r.backoff
	s.refusals[pool] = r
}

// refused reports whether a pool is in backoff after a refusal.
func (s *scaleOuts) refused(pool autoscaler.Pool, now time.Duration) bool {
	return now < s.refusals[pool].until
}

// supplies lists the machines of all requests without an answer.
func (s *scaleOuts) supplies() []*autoscaler.Supply {
	var supplies []*autoscaler.Supply
	for _, call := range s.calls {
		for range call.Count {
			supplies = append(supplies, s.pendingSupply(call.Type, call.Zone, call.Spot, call.shard))
		}
	}
	return supplies
}
