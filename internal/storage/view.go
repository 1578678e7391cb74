package storage

// View is the replicated records as this controller has read them. Apply and Remove
// change it, and the two words that come ahead of the changes: MarkCancelled and
// SetOutcome. All others read it, with two exceptions: attempts count themselves in
// Job.References and then call ForgetJob, and any name may be given an index.
//
// Its parts by concern are embedded: view.Leader is the Leadership's.
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

// Revisions grow with changes of the view. Whoever keeps something that follows from
// those looks again only when they have grown.
type Revisions struct {
	JobsAdded     uint64 // with every job that is read, and whose last dependency is done
	JobsEnded     uint64 // with every job that ends or is found to be cancelled with another
	FleetRevision uint64 // with every machine group, grant, or number of job shards
}

// recordPage is a page of intents or completions as last read.
type recordPage[T any] struct {
	version uint64
	entries []T
}

// NewView makes an empty view for the teams of the settings and a number of shards. It
// keeps and completes the teams.
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
