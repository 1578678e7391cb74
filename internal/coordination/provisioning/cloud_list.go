package provisioning

import (
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// minListInterval is the pause between two lists where a list takes few calls.
	minListInterval = 3 * time.Second
	// listCallShare is the part of the calls that the cloud allows which lists take at most.
	listCallShare = 0.5
	// listRetryPause is the least pause after a list that failed.
	listRetryPause = time.Second
	// unlistedAfterLags is after how many of the list's lags a machine should be named.
	unlistedAfterLags = 4
	// A record of a deleted machine is kept for so many of the list's lags, and for so long
	// at least: no list can name it then.
	forgettableAfterLags = 20
	minDeletedRetention  = 10 * time.Minute
)

// listPause is the pause after a list of so many machines: a list of thousands takes many
// calls, and creations and deletions need theirs.
func listPause(machines int, callsPerSecond float64) time.Duration {
	calls := float64(machines/protocol.MachinesPerCall + 1)
	return max(minListInterval, config.Seconds(calls/(listCallShare*callsPerSecond)))
}

// cloudList compares the cloud's list of machines with the records: unexpected machines are
// adopted, failed ones are found. That a machine is absent from a list proves nothing by
// itself.
type cloudList struct {
	*Config
	adoptions *adoptions
	call      loop.Call

	failed      map[string]bool   // machines that the last list calls failed
	unlisted    map[string]bool   // machines that it should have named and did not
	addresses   map[string]string // addresses that the records don't have yet
	forgettable map[string]bool   // deleted machines that no list can name any more
}

func newCloudList(c *Config, a *adoptions) *cloudList {
	return &cloudList{Config: c, adoptions: a, unlisted: map[string]bool{}, addresses: map[string]string{}, forgettable: map[string]bool{}}
}

// refresh lists the machines where that is due.
func (l *cloudList) refresh(now time.Duration) {
	if l.call.TryBegin(now) {
		l.Cloud.ListMachines(l.onListed)
	}
}

func (l *cloudList) onListed(list []protocol.CloudMachine, err error) {
	l.call.Done(l.now() + listPause(len(list), l.Cluster.Cloud.RequestsPerSecond))
	if !l.Leadership.Current() {
		return
	}
	if err != nil {
		l.Log.Debug("machines not listed", "err", err)
		l.call.RetryAt(l.now() + l.Generation.Jitter(listRetryPause))
		return
	}
	listed := l.compare(list)
	l.findUnlisted(list, listed)
	l.findForgettable(listed)
}

// compare adopts unrecorded machines and finds failed ones, and returns the names listed.
func (l *cloudList) compare(list []protocol.CloudMachine) (listed map[string]bool) {
	listed = make(map[string]bool, len(list))
	l.failed = map[string]bool{}
	for i := range list {
		found := &list[i]
		listed[found.Name] = true
		machine := l.findRecorded(found.Name)
		if machine == nil {
			createdAtMS := l.wallMS() - int64(found.AgeSeconds*1000)
			l.adoptions.adopt(found.Name, unrecordedMachine{found.Address, found.Type, found.Zone, found.Spot, createdAtMS})
			continue
		}
		if found.Stage == protocol.MachineFailed {
			l.failed[found.Name] = true
		}
		if machine.Address == "" && found.Address != "" {
			l.addresses[found.Name] = found.Address
		}
	}
	return listed
}

// findUnlisted notes machines that the list should name and doesn't. Machines are listed in
// the order in which they were created, and stay listed until they are gone: a list that
// has a later one knows them.
func (l *cloudList) findUnlisted(list []protocol.CloudMachine, listed map[string]bool) {
	clear(l.unlisted)
	if len(list) == 0 {
		return
	}
	last := list[len(list)-1].Name
	now := l.Generation.Wall()
	oldEnough := config.Seconds(unlistedAfterLags * l.Cluster.Cloud.ListLagSeconds)
	l.view().Machines.All(func(_ int, m *storage.Machine) {
		createdBefore := m.Name < last && len(m.Name) == len(last)
		if m.Exists() && createdBefore && !listed[m.Name] && autoscaler.MachineAge(m, now) > oldEnough {
			l.unlisted[m.Name] = true
		}
	})
}

// findForgettable notes deleted machines whose records can go.
func (l *cloudList) findForgettable(listed map[string]bool) {
	retention := max(minDeletedRetention, config.Seconds(forgettableAfterLags*l.Cluster.Cloud.ListLagSeconds))
	nowMS := l.wallMS()
	l.view().Machines.All(func(_ int, m *storage.Machine) {
		if m.Deleted() && !listed[m.Name] && time.Duration(nowMS-m.DeletedAtMS)*time.Millisecond > retention {
			l.forgettable[m.Name] = true
		}
	})
}
