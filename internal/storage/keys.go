package storage

import (
	"strconv"
	"strings"
)

// Keys of durable records. Every controller replicates the keys below Prefix. Only final
// records have keys outside of Prefix: the record of a job moves out of Prefix when the job
// ends, which limits the data that a starting controller reads to the current work.
const (
	Prefix           = "r/"
	KeyLeader        = "r/leader"
	KeyTerm          = "r/term"
	KeyMachineTypes  = "r/types"
	KeyJobShards     = "r/homes"
	KeyQuotaSplit    = "r/shares"
	KeyScalingTarget = "r/target"

	prefixGrant        = "r/g/"
	prefixMachineGroup = "r/m/"
	prefixIntent       = "r/i/"
	prefixJob          = "r/j/"
	prefixCompletion   = "r/d/"
	prefixLiveness     = "r/p/"
	prefixFinal        = "f/"
)

// GrantKey is the key of a shard's GrantRecord.
func GrantKey(shard int) string { return prefixGrant + strconv.Itoa(shard) }

// MachineGroupKey is the key of a MachineGroupRecord.
func MachineGroupKey(id string) string { return prefixMachineGroup + id }

// IntentPageKey is the key of an IntentPage.
func IntentPageKey(p PageID) string { return prefixIntent + p.path() }

// CompletionPageKey is the key of a CompletionPage.
func CompletionPageKey(p PageID) string { return prefixCompletion + p.path() }

// JobKey is the key of the JobRecord of a job that has not ended.
func JobKey(id string) string { return prefixJob + id }

// LivenessKey is the key of the LivenessRecord of a controller.
func LivenessKey(controller string) string { return prefixLiveness + controller }

// FinalKey is the key of the FinalRecord of a job that has ended.
func FinalKey(id string) string { return prefixFinal + id }

// PageID identifies an intent page or a completion page. Only the holder of the shard writes
// the page.
type PageID struct{ Shard, Page int }

func (p PageID) path() string { return strconv.Itoa(p.Shard) + "/" + strconv.Itoa(p.Page) }

// parsePagePath parses a path that PageID.path returned.
func parsePagePath(path string) (PageID, error) {
	shardText, pageText, ok := strings.Cut(path, "/")
	shard, shardErr := strconv.Atoi(shardText)
	page, pageErr := strconv.Atoi(pageText)
	if !ok || shardErr != nil || pageErr != nil || shard < 0 || page < 0 {
		return PageID{}, &MalformedError{What: "page", Text: path}
	}
	return PageID{shard, page}, nil
}
