package reconcile

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestShardLostAndReacquiredBetweenReads guards against a holder that retains its in-memory
// state although another controller has held the shard. The store rejects the requests of
// controller a, which loses its job shard and is granted it again before it can read the
// records. In between, controller b ends an attempt of a (reason "never started") and starts the
// task on m-1 under a new attempt. Controller a then reads both grants at once. Found with
// random faults: at a staleness of 25.28 s, a retained its state, ended its old attempt, ignored
// the attempt of b, and started the task on a second machine 3 s after the grant.
func TestShardLostAndReacquiredBetweenReads(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	otherIntent := storage.IntentEntry(0, "m-1", 20)
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {otherIntent}})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: grantToken + 2<<24})
	f.recordsChanged() // once, after all three records
	f.refreshViewAndLeases()

	otherStatus := protocol.TaskStatus{Task: "run-1/0", Attempt: 20, State: protocol.TaskRunning}
	for _, command := range f.heartbeatCommands(2, grantToken+2<<24, otherStatus) {
		if command.Verb == protocol.VerbStop {
			t.Errorf("the attempt of the other holder is stopped: %+v", command)
		}
	}
	if f.attemptsOf(0) != 1 {
		t.Fatalf("%d attempts of the task, want 1", f.attemptsOf(0))
	}
	for _, attempt := range f.agent().attempts {
		if attempt.task == 0 && attempt.number != 20 {
			t.Errorf("attempt %d counts, want only 20", attempt.number)
		}
	}
}

// TestRegrantRetainsState: a grant that only raises the token of the current holder, as made
// by a new leader, retains the holder's in-memory state of its machines.
func TestRegrantRetainsState(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	before, writer := f.agent(), f.reconciler.writers[0]
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: grantToken + 1<<24})
	f.recordsChanged()
	if f.agent() != before || f.reconciler.writers[0] != writer || f.liveAttempts() != 1 {
		t.Error("the shard was acquired again")
	}
	if before.fence.confirmed {
		t.Error("the fence counts as confirmed for the new token")
	}
}
