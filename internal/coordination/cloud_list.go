package coordination

import (
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// listEvery is the pause between two lists where a list takes few calls.
const listEvery = 3 * time.Second

// listShare is the part of the calls that the cloud allows which lists take at most.
const listShare = 0.5

// listPause is the pause after a list of so many machines: a list of thousands takes
// many calls, and rentals and returns need theirs.
func listPause(machines int, callsPerSecond float64) time.Duration {
	calls := float64(machines/protocol.MachinesPerCall + 1)
	return max(listEvery, seconds(calls/(listShare*callsPerSecond)))
}

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
		f.listAt = n.now() + listPause(len(list), n.Settings.Cluster.Cloud.RPS)
		if !f.alive() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not listed", "err", err)
			f.listAt = n.now() + n.jitter(time.Second)
			return
		}
		listed := f.takeUpListed(list)
		f.noteUnlisted(list, listed)
		f.noteForgettable(listed)
	})
}

// takeUpListed compares what is listed with the records, and returns the names.
func (f *fleet) takeUpListed(list []protocol.CloudMachine) (listed map[string]bool) {
	n := f.l.n
	listed = make(map[string]bool, len(list))
	f.failed = map[string]bool{}
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
			f.failed[c.Name] = true
		}
		if m.Addr == "" && c.Address != "" {
			f.addrs[c.Name] = c.Address
		}
	}
	return listed
}

// noteUnlisted notes machines that the list should name and doesn't. Machines are listed
// in the order in which they were made, and stay listed until they are gone: a list
// that has a later one knows them.
func (f *fleet) noteUnlisted(list []protocol.CloudMachine, listed map[string]bool) {
	n := f.l.n
	clear(f.unlisted)
	if len(list) == 0 {
		return
	}
	last := list[len(list)-1].Name
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.There() && m.Name < last && len(m.Name) == len(last) && !listed[m.Name] && f.l.age(m) > seconds(4*n.Settings.Cluster.Cloud.ListLagS) {
			f.unlisted[m.Name] = true
		}
	})
}

// noteForgettable notes machines whose records can go: a record of a machine that is
// gone is kept until no list can name it.
func (f *fleet) noteForgettable(listed map[string]bool) {
	n := f.l.n
	keep := max(10*time.Minute, seconds(20*n.Settings.Cluster.Cloud.ListLagS))
	nowMS := n.Clock.Wall().UnixMilli()
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Block != "" && m.Phase == bookkeeping.PhaseGone && !listed[m.Name] && time.Duration(nowMS-m.GoneMS)*time.Millisecond > keep {
			f.old[m.Name] = true
		}
	})
}
