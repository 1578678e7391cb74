package storage

import (
	"slices"
	"testing"
)

// TestSortedTasks: tasks are sorted by job index, then by task number.
func TestSortedTasks(t *testing.T) {
	got := SortedTasks(map[TaskRef]string{{2, 0}: "", {1, 10}: "", {1, 9}: ""})
	if want := []TaskRef{{1, 9}, {1, 10}, {2, 0}}; !slices.Equal(got, want) {
		t.Errorf("tasks %v; want %v", got, want)
	}
}
