package storage

import (
	"cmp"
	"maps"
	"slices"
)

// SortedTasks lists the tasks of a map in a fixed order: what a controller does must
// follow from what it knows alone, or no failure could be played again.
func SortedTasks[V any](tasks map[TaskRef]V) []TaskRef {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}
