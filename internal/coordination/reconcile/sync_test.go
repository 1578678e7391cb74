package reconcile

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Found on a day of random faults. A controller that the store refused had held a job shard, and
// was granted it again before it could read the records; in between another controller had held
// it, taken an attempt of the first for over (`reason="never started"`) and started the task on
// m-1 under an attempt of its own. The first read both grants at once (`staleness=25.28s`), found
// that it held the shard as before, and went on with what it knew: it took its own old attempt
// for over, the other's for none of its business, and started the task on a second machine 3 s
// after the grant.
func TestShardLostAndRegainedUnseen(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	others := storage.IntentEntry(0, "m-1", 20)
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {others}})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: grantToken + 2<<24})
	f.recordsChanged() // once, after all three
	f.refreshViewAndLeases()

	theirs := protocol.TaskStatus{Task: "run-1/0", Attempt: 20, State: protocol.TaskRunning}
	for _, command := range f.heartbeatCommands(2, grantToken+2<<24, theirs) {
		if command.Verb == protocol.VerbStop {
			t.Errorf("the other holder's attempt is stopped: %+v", command)
		}
	}
	if f.attemptsAt(0) != 1 {
		t.Fatalf("%d attempts count", f.attemptsAt(0))
	}
	for _, attempt := range f.agent().attempts {
		if attempt.task == 0 && attempt.number != 20 {
			t.Errorf("attempt %d counts", attempt.number)
		}
	}
}

// TestRegrantKeepsWhatIsKnown: a grant that only raises the token of the present holder, as a
// new leader makes, leaves what it knows of its machines.
func TestRegrantKeepsWhatIsKnown(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	before, writer := f.agent(), f.reconciler.writers[0]
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: grantToken + 1<<24})
	f.recordsChanged()
	if f.agent() != before || f.reconciler.writers[0] != writer || f.liveAttempts() != 1 {
		t.Error("it was taken up anew")
	}
	if before.fence.confirmed {
		t.Error("the new token counts as shown")
	}
}
