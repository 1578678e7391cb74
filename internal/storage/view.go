package storage

// View is the replicated records as this controller has read them. Apply and Remove
// change it as the store reports changes. MarkCancelled and SetOutcome add cancellations and
// outcomes that the controller learns in other ways. All other code only reads the view, with
// two exceptions: the owner of an attempt counts it in Job.References and calls
// DeleteJobIfUnreferenced after removing it, and any caller may add a name to a Names table.
//
// The parts of the view are embedded by concern: view.Leader is a field of Leadership.
type View struct {
	Leadership
	ShardAssignment
	Quotas
	Catalogue
	Revisions

	Jobs       Table[Job]
	ImageNames Names

	Machines      Table[Machine]
	MachineGroups map[string]*MachineGroup // by ID

	ScalingTarget        ScalingTargetRecord
	ScalingTargetVersion uint64

	intentPages     map[PageID]*recordPage[intentEntry]
	completionPages map[PageID]*recordPage[*Job]
	dependencyWork
}

// Revisions are counters that increase when the view changes. Code that caches data
// derived from the view recomputes the data only after the counter for it has increased.
type Revisions struct {
	JobOrderRevision     uint64 // increases when a job is read and when a job's last dependency is done
	InactiveJobsRevision uint64 // increases when a job ends or is found to be cancelled with another
	FleetRevision        uint64 // increases with each change of a machine group, a grant or the number of job shards
}

// recordPage is an intent page or a completion page as last read.
type recordPage[T any] struct {
	version uint64
	entries []T
}

// NewView returns an empty view for the teams from the settings and a number of shards.
// It retains the slice of teams and sets HasGuarantee in each.
func NewView(teams []Team, shards int) *View {
	return &View{
		ShardAssignment: newShardAssignment(shards),
		Quotas:          newQuotas(teams),
		MachineGroups:   map[string]*MachineGroup{},
		intentPages:     map[PageID]*recordPage[intentEntry]{},
		completionPages: map[PageID]*recordPage[*Job]{},
		dependencyWork:  dependencyWork{unreadOutcomes: map[*Job]bool{}, cancelledDependents: map[*Job]bool{}},
	}
}
