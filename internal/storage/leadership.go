package storage

// Leadership is the leader and the term according to the records.
type Leadership struct {
	Leader        LeaderRecord
	LeaderVersion uint64 // 0 if there is no leader
	Term          uint64 // the highest term so far
	TermVersion   uint64
}

func (l *Leadership) applyLeader(stored storedRecord) error {
	leader, newer, err := decodeNewer[LeaderRecord](stored, l.LeaderVersion)
	if newer {
		l.Leader, l.LeaderVersion = leader, stored.version
	}
	return err
}

func (l *Leadership) removeLeader(removal storedRecord) {
	if removal.version > l.LeaderVersion {
		l.Leader, l.LeaderVersion = LeaderRecord{}, 0
	}
}

func (l *Leadership) applyTerm(stored storedRecord) error {
	term, newer, err := decodeNewer[TermRecord](stored, l.TermVersion)
	if newer {
		l.Term, l.TermVersion = term.Term, stored.version
	}
	return err
}
