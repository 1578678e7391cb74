package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// peerTimeout is how long a controller waits for the answer of an unreachable peer.
const peerTimeout = time.Second

// peerLink connects a controller process to its peers.
type peerLink struct{ process *process }

// SendRequest implements coordination.Peers.
func (l peerLink) SendRequest(peer string, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	from := l.process.host
	sim := from.sim
	sim.trace.recordPeerRequest(from.name, peer, request)
	to := sim.findHost(peer)
	if to == nil || to.process == nil || to.peersPartitioned || from.peersPartitioned {
		l.fail(done)
		return
	}
	receiver := to.process
	sim.after(sim.latency(), func() {
		if receiver.dead {
			l.fail(done)
			return
		}
		l.deliver(receiver, request, done)
	})
}

// deliver passes a request to a running process. A paused process handles the request when
// the pause ends, but then the sender receives neither an answer nor an error.
func (l peerLink) deliver(receiver *process, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	sim := l.process.host.sim
	if receiver.host.isPaused() {
		done = func(protocol.PeerAnswer, error) {}
	}
	receiver.guard(func() {
		receiver.controller.OnPeerRequest(request, func(answer protocol.PeerAnswer) {
			sim.trace.recordPeerReply(receiver.host.name, answer)
			sim.after(sim.latency(), l.process.guard(func() { done(answer, nil) }))
		})
	})()
}

// fail reports an unknown outcome to the sender after peerTimeout.
func (l peerLink) fail(done func(protocol.PeerAnswer, error)) {
	l.process.host.sim.after(peerTimeout, l.process.guard(func() { done(protocol.PeerAnswer{}, protocol.ErrOutcomeUnknown) }))
}
