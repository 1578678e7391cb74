package storage

import (
	"encoding/json"
	"strings"

	"rockrun/internal/protocol"
)

// storedRecord is a record read from the store, or the removal of a record.
type storedRecord struct {
	name    string          // the part of the key that identifies the record within its kind
	value   json.RawMessage // nil for a removal
	version uint64          // revision of the store at which the record was written or removed
}

// recordKind identifies the records of a kind by their keys and applies them to the view.
type recordKind struct {
	keyOrPrefix string // a prefix of the keys if it ends in a slash, otherwise the key of the only record
	apply       func(*View, storedRecord) error
	remove      func(*View, storedRecord) // nil if a removal has no effect
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

// findKind returns the kind of the record with a key and the record's name within that
// kind. The kind is nil if this version of rockrun does not know it.
func findKind(key string) (kind *recordKind, name string) {
	for i := range recordKinds {
		kind := &recordKinds[i]
		rest, found := strings.CutPrefix(key, kind.keyOrPrefix)
		if found && (rest == "" || strings.HasSuffix(kind.keyOrPrefix, "/")) {
			return kind, rest
		}
	}
	return nil, ""
}

// Apply updates the view with a record that was written. It ignores records of unknown
// kinds and versions that are not newer than the one last applied. Each error that it
// returns is a *RecordError.
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

// Remove updates the view after a record was removed. It ignores versions that are not
// newer than the one last applied.
func (v *View) Remove(key string, version uint64) {
	if kind, name := findKind(key); kind != nil && kind.remove != nil {
		kind.remove(v, storedRecord{name: name, version: version})
	}
}

// decodeNewer decodes a record if its version is newer than knownVersion. The result newer
// is false for other versions and if decoding fails.
func decodeNewer[T any](stored storedRecord, knownVersion uint64) (record T, newer bool, err error) {
	if stored.version <= knownVersion {
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
