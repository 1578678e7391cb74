package coordination

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// A cancellation reaches every holder with the changes. Where the state service
// refuses a holder or is away, the bound on its knowledge (see entitled) sees to
// it that the tasks are gone in time all the same. In addition the controller that
// confirms a cancellation tells the others, which stop the tasks at once: stopping
// is always safe, whoever may hold the machines by now.

// mostNotices bounds what is kept for a controller that can't be reached: when it
// is back it has the records, or the bound has done its work. It is several for each
// second of the longest cancel_s that a cluster was run with.
const maxNotices = 4096

// cancellationNotices are cancellations that a controller has not been told of yet.
type cancellationNotices struct {
	ids     []string
	retryAt time.Duration // not told again before
}

// cancellationConfirmed sees to it that the others hear of a cancellation.
func (n *Controller) cancellationConfirmed(id string) {
	n.applyCancellations([]string{id})
	for _, s := range n.Settings.Peers {
		w := n.notices[s.Controller]
		if w == nil {
			w = &cancellationNotices{}
			n.notices[s.Controller] = w
		}
		if !slices.Contains(w.ids, id) {
			w.ids = append(w.ids, id)
		}
		w.ids = w.ids[max(0, len(w.ids)-maxNotices):]
	}
}

// sendCancellations tells the other controllers of the cancellations confirmed here.
func (n *Controller) sendCancellations() {
	now := n.now()
	for _, s := range n.Settings.Peers {
		w := n.notices[s.Controller]
		if w == nil || len(w.ids) == 0 || now < w.retryAt {
			continue
		}
		sent := w.ids
		w.ids = nil
		n.Peers.Ask(s.Controller, protocol.PeerRequest{Cancelled: sent}, func(_ protocol.PeerAnswer, err error) {
			if err != nil && n.notices[s.Controller] == w {
				w.ids = append(sent, w.ids...)
				w.ids = w.ids[max(0, len(w.ids)-maxNotices):]
				w.retryAt = n.now() + time.Second
			}
		})
	}
}

// applyCancellations stops what is here of jobs whose cancellation is durable.
func (n *Controller) applyCancellations(ids []string) {
	for _, id := range ids {
		n.noteCancelledDependents(n.view.MarkCancelled(id))
	}
	n.reconciler.StopInactive()
}
