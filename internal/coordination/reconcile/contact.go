package reconcile

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
)

// contact tracks the latest heartbeat received from an agent and the latest answer to it.
type contact struct {
	epoch            uint64
	sequence         uint64        // of the last heartbeat; 0: none received yet
	heldSince        time.Duration // when this controller acquired the machine, or when another holder may last have held it
	firstHeartbeatAt time.Duration // when the first heartbeat arrived since the machine was acquired
	lastHeartbeatAt  time.Duration
	lastAnsweredAt   time.Duration // when a heartbeat was last answered, which renews the agent's lease
	listing          listing
}

// observe records a heartbeat that is newer than the last one.
func (c *contact) observe(heartbeat *protocol.AgentHeartbeat, now time.Duration) {
	c.epoch, c.sequence, c.lastHeartbeatAt = heartbeat.Epoch, heartbeat.Sequence, now
}

// lastExchangeAt is the earlier of the last heartbeat and the last answer: up to that time,
// messages have passed in both directions.
func (c *contact) lastExchangeAt() time.Duration { return min(c.lastHeartbeatAt, c.lastAnsweredAt) }

// lastRenewedAt is the latest time at which the agent's lease can have been renewed, by this
// holder or by an earlier one, which may renew leases until its view exceeds maxStaleness.
func (c *contact) lastRenewedAt(maxStaleness time.Duration) time.Duration {
	return max(c.lastAnsweredAt, c.heldSince+maxStaleness)
}

// listing counts the tasks that the agent's heartbeats list. Slots of a machine stay occupied
// by ended tasks until these are reaped.
type listing struct {
	listed   int // tasks in the last heartbeat, in any state
	unlisted int // attempts that were added since, or that the last heartbeat did not list
}

// observe records the number of tasks that a heartbeat lists, and how many attempts it does not
// list.
func (l *listing) observe(listed, unlisted int) { l.listed, l.unlisted = listed, max(0, unlisted) }

// freeSlots returns how many more tasks the machine can take.
func (l *listing) freeSlots() int { return protocol.MaxTasksPerMachine - l.listed - l.unlisted }

// commandChannel tracks command requests to an agent; at most one is in flight.
type commandChannel struct {
	loop.Call
	sendAgain bool // send another request after the one in flight
	sentAt    time.Duration
}

// begin marks a request as in flight.
func (c *commandChannel) begin(now time.Duration) {
	c.Begin()
	c.sendAgain, c.sentAt = false, now
}
