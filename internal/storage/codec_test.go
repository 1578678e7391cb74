package storage

import (
	"errors"
	"testing"

	"rockrun/internal/protocol"
)

// TestCodecRoundTrip: decoding an encoded value returns the same value.
func TestCodecRoundTrip(t *testing.T) {
	for _, want := range []PageID{{}, {Shard: 3, Page: 41}} {
		if got, err := parsePagePath(want.path()); err != nil || got != want {
			t.Errorf("page %v decoded as %v, error %v", want, got, err)
		}
	}
	for _, want := range []intentHeader{{"red", 1, 0, 0.5}, {"a team of three", 0.1, 8, 1e9}} {
		if got, err := parseIntentHeader(IntentHeader(want.team, want.cpus, want.gpus, want.memoryGB)); err != nil || got != want {
			t.Errorf("header %v decoded as %v, error %v", want, got, err)
		}
	}
	const largest = ^uint64(0)
	last := parsedIntent{protocol.MaxTasks - 1, "m-1", largest}
	if got, err := parseIntentEntry(IntentEntry(last.task, last.machine, last.attempt)); err != nil || got != last {
		t.Errorf("intent %+v decoded as %+v, error %v", last, got, err)
	}
	if _, err := parseIntentEntry(IntentEntry(protocol.MaxTasks, "m-1", 1)); err == nil {
		t.Error("accepted an intent for task number protocol.MaxTasks")
	}
	if id, chunk, err := parseCompletionChunkName(CompletionChunkName("run-1", 12)); err != nil || id != "run-1" || chunk != 12 {
		t.Errorf("chunk name decoded as job %s, chunk %d, error %v", id, chunk, err)
	}
}

// TestDecodeFinal: a decoded final record gives the outcome of the job; the error for an
// invalid record wraps the cause.
func TestDecodeFinal(t *testing.T) {
	want := FinalRecord{Stage: protocol.StageDone, CompletedTasks: 4, EndedAtMS: 1000}
	if got, err := DecodeFinal(Encode(want)); err != nil || got != want || got.outcome() != OutcomeDone {
		t.Errorf("record %+v, error %v", got, err)
	}
	if outcome := (FinalRecord{Stage: protocol.StageCancelled}).outcome(); outcome != OutcomeCancelled {
		t.Errorf("outcome %d of a cancelled job", outcome)
	}
	if _, err := DecodeFinal([]byte(`{"stage":`)); err == nil || errors.Unwrap(err) == nil {
		t.Errorf("error %v wraps no cause", err)
	}
}
