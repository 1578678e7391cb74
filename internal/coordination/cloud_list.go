package coordination

import (
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// list compares the cloud's list with the records: unexpected machines are
// taken up, failed ones are given back. Absence from a list proves nothing.
func (f *fleet) list(now time.Duration) {
	n := f.l.n
	if f.listing || now < f.listAt {
		return
	}
	f.listing = true
	n.Cloud.List(func(list []protocol.CloudMachine, err error) {
		f.listing = false
		f.listAt = n.now() + 3*time.Second
		if !f.alive() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not listed", "err", err)
			f.listAt = n.now() + n.jitter(time.Second)
			return
		}
		listed := make(map[string]bool, len(list))
		failed := map[string]bool{}
		for i := range list {
			c := &list[i]
			listed[c.Name] = true
			_, m := n.cache.Machines.Find(c.Name)
			if m == nil || m.Block == "" {
				at := n.Clock.Wall().UnixMilli() - int64(c.AgeS*1000)
				f.found(c.Name, orphan{c.Address, c.Type, c.Zone, c.Spot, at})
				continue
			}
			if c.Stage == protocol.MachineFailed {
				failed[c.Name] = true
			}
			if m.Addr == "" && c.Address != "" {
				f.addrs[c.Name] = c.Address
			}
		}
		f.failed = failed
		// Machines are listed in the order in which they were made, and stay
		// listed until they are gone: a list that has a later one knows them.
		clear(f.unlisted)
		if len(list) > 0 {
			last := list[len(list)-1].Name
			n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
				if m.There() && m.Name < last && len(m.Name) == len(last) && !listed[m.Name] && f.l.age(m) > seconds(4*n.Settings.Cluster.Cloud.ListLagS) {
					f.unlisted[m.Name] = true
				}
			})
		}
		// A record of a machine that is gone is kept until no list can name it.
		keep := max(10*time.Minute, seconds(20*n.Settings.Cluster.Cloud.ListLagS))
		n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
			if m.Block != "" && m.Phase == bookkeeping.PhaseGone && !listed[m.Name] && time.Duration(n.Clock.Wall().UnixMilli()-m.GoneMS)*time.Millisecond > keep {
				f.old[m.Name] = true
			}
		})
	})
}
