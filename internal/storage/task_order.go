package storage

import (
	"cmp"
	"maps"
	"slices"
)

// SortedTasks returns the tasks of a map sorted by job index and task number. The actions of
// a controller must depend on its state alone, or failures could not be replayed.
func SortedTasks[V any](tasks map[TaskRef]V) []TaskRef {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}
