package reconcile

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
)

// contact is when and how an agent was last heard and answered.
type contact struct {
	epoch            uint64
	sequence         uint64        // of the last heartbeat; 0: none yet
	heldSince        time.Duration // when the machine was taken up
	firstHeartbeatAt time.Duration // first under this grant
	lastHeartbeatAt  time.Duration
	lastAnsweredAt   time.Duration // last time a heartbeat was answered, which renews the lease
}

// observe takes in a heartbeat that is news.
func (c *contact) observe(r *protocol.AgentHeartbeat, now time.Duration) {
	c.epoch, c.sequence, c.lastHeartbeatAt = r.Epoch, r.Sequence, now
}

// silentSince is since when the agent has not both been heard and answered.
func (c *contact) silentSince() time.Duration { return min(c.lastHeartbeatAt, c.lastAnsweredAt) }

// lastRenewedAt is when the agent's lease may last have been renewed: by this holder or,
// until its knowledge ran out, by a former one.
func (c *contact) lastRenewedAt(maxStaleness time.Duration) time.Duration {
	return max(c.lastAnsweredAt, c.heldSince+maxStaleness)
}

// commandChannel is the sending of commands to an agent: one request at a time.
type commandChannel struct {
	loop.Call
	sendAgain bool // another request is wanted after the one in flight
	sentAt    time.Duration
}

// begin takes up a request.
func (c *commandChannel) begin(now time.Duration) {
	c.Begin()
	c.sendAgain, c.sentAt = false, now
}
