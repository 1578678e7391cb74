package coordination

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// A withdrawal reaches every holder with the changes. Where the state service
// refuses a holder or is away, the bound on its knowledge (see entitled) sees to
// it that the tasks are gone in time all the same. In addition the controller that
// confirms a withdrawal tells the others, which stop the tasks at once: stopping
// is always safe, whoever may hold the machines by now.

// mostNotices bounds what is kept for a controller that can't be reached: when it
// is back it has the records, or the bound has done its work.
const mostNotices = 256

// notices are withdrawals that a controller has not been told of yet.
type notices struct {
	ids []string
	at  time.Duration // not told again before
}

// confirmed sees to it that the others hear of a withdrawal.
func (n *Node) confirmed(id string) {
	n.heardWithdrawn([]string{id})
	for _, s := range n.Settings.Siblings {
		w := n.notices[s.Node]
		if w == nil {
			w = &notices{}
			n.notices[s.Node] = w
		}
		if !slices.Contains(w.ids, id) {
			w.ids = append(w.ids, id)
		}
		w.ids = w.ids[max(0, len(w.ids)-mostNotices):]
	}
}

// spread tells the other controllers of the withdrawals confirmed here.
func (n *Node) spread() {
	now := n.now()
	for _, s := range n.Settings.Siblings {
		w := n.notices[s.Node]
		if w == nil || len(w.ids) == 0 || now < w.at {
			continue
		}
		sent := w.ids
		w.ids = nil
		n.Peers.Ask(s.Node, protocol.PeerRequest{Withdrawn: sent}, func(_ protocol.PeerAnswer, err error) {
			if err != nil && n.notices[s.Node] == w {
				w.ids = append(sent, w.ids...)
				w.ids = w.ids[max(0, len(w.ids)-mostNotices):]
				w.at = n.now() + time.Second
			}
		})
	}
}

// heardWithdrawn stops what is here of jobs whose withdrawal is durable.
func (n *Node) heardWithdrawn(ids []string) {
	for _, id := range ids {
		n.book.Withdraw(id)
	}
	n.hold.halt()
}
