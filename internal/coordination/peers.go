package coordination

import (
	"slices"

	"rockrun/internal/protocol"
)

// OnPeer answers a message from another controller.
func (n *Controller) OnPeer(r protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
	switch {
	case r.Heartbeat != nil:
		registry := n.registry()
		if registry == nil || !slices.Contains(n.controllers, r.Heartbeat.Controller) {
			reply(protocol.PeerAnswer{Reply: &protocol.PeerHeartbeatReply{}})
			return
		}
		reply(protocol.PeerAnswer{Reply: registry.OnHeartbeat(r.Heartbeat)})
	case len(r.Cancelled) > 0:
		n.jobs.ApplyCancellations(r.Cancelled)
		reply(protocol.PeerAnswer{})
	default:
		reply(protocol.PeerAnswer{})
	}
}
