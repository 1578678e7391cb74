package coordination

import (
	"slices"

	"rockrun/internal/protocol"
)

// OnPeerRequest processes and answers a request from another controller.
func (c *Controller) OnPeerRequest(request protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
	switch {
	case request.Heartbeat != nil:
		registry := c.registry()
		if registry == nil || !slices.Contains(c.controllers, request.Heartbeat.Controller) {
			reply(protocol.PeerAnswer{Reply: &protocol.PeerHeartbeatReply{}})
			return
		}
		reply(protocol.PeerAnswer{Reply: registry.OnHeartbeat(request.Heartbeat)})
	case len(request.Cancelled) > 0:
		c.jobs.ApplyCancellations(request.Cancelled)
		reply(protocol.PeerAnswer{})
	default:
		reply(protocol.PeerAnswer{})
	}
}
