package storage

import (
	"encoding/json"
	"strings"

	"rockrun/internal/protocol"
)

// storedRecord is a record as the store has it, or without a value its removal.
type storedRecord struct {
	name    string // of the key, what tells records of its kind apart
	value   json.RawMessage
	version uint64 // revision of the store at which it was written or removed
}

// recordKind is how records of a kind are told by their keys and taken into the view.
type recordKind struct {
	key    string // of the one record of the kind; if it ends in a slash, what the keys begin with
	apply  func(*View, storedRecord) error
	remove func(*View, storedRecord) // nil where a removal says nothing
}

var recordKinds = []recordKind{
	{KeyLeader, (*View).applyLeader, (*View).removeLeader},
	{KeyTerm, (*View).applyTerm, nil},
	{KeyMachineTypes, (*View).applyMachineTypes, nil},
	{KeyJobShards, (*View).applyJobShards, nil},
	{KeyQuotaSplit, (*View).applyQuotaSplit, nil},
	{KeyScalingTarget, (*View).applyScalingTarget, nil},
	{prefixGrant, (*View).applyGrant, nil},
	{prefixLiveness, (*View).applyLiveness, nil},
	{prefixMachineGroup, (*View).applyMachineGroup, (*View).removeMachineGroup},
	{prefixJob, (*View).applyJob, (*View).removeJob},
	{prefixIntent, (*View).applyIntentPage, (*View).removeIntentPage},
	{prefixCompletion, (*View).applyCompletionPage, (*View).removeCompletionPage},
}

// findKind returns the kind of the record with a key and its name in the kind, or nil
// for one that this version does not know.
func findKind(key string) (kind *recordKind, name string) {
	for i := range recordKinds {
		kind := &recordKinds[i]
		rest, found := strings.CutPrefix(key, kind.key)
		if found && (rest == "" || strings.HasSuffix(kind.key, "/")) {
			return kind, rest
		}
	}
	return nil, ""
}

// Apply takes in a record that was written. It ignores versions that are not above the
// one known and records of unknown kinds. Its errors are RecordErrors.
func (v *View) Apply(key string, value json.RawMessage, version uint64) error {
	kind, name := findKind(key)
	if kind == nil {
		return nil
	}
	if err := kind.apply(v, storedRecord{name, value, version}); err != nil {
		return &RecordError{Key: key, Err: err}
	}
	return nil
}

// Remove takes in that a record was removed. It ignores versions that are not above the
// one known.
func (v *View) Remove(key string, version uint64) {
	if kind, name := findKind(key); kind != nil && kind.remove != nil {
		kind.remove(v, storedRecord{name: name, version: version})
	}
}

// decodeNewer decodes a record whose version is above the one known. Otherwise newer is
// false.
func decodeNewer[T any](stored storedRecord, known uint64) (record T, newer bool, err error) {
	if stored.version <= known {
		return record, false, nil
	}
	err = protocol.Decode(stored.value, &record)
	return record, err == nil, err
}

func (v *View) applyScalingTarget(stored storedRecord) error {
	target, newer, err := decodeNewer[ScalingTargetRecord](stored, v.ScalingTargetVersion)
	if newer {
		v.ScalingTarget, v.ScalingTargetVersion = target, stored.version
	}
	return err
}
