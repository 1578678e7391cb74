package storage

import (
	"slices"
	"testing"
)

// TestNames: the index of a name does not change.
func TestNames(t *testing.T) {
	var names Names
	if names.Lookup("a") != -1 || names.Name(0) != "" || names.Len() != 0 {
		t.Error("the zero value is not empty")
	}
	if a, b := names.Index("a"), names.Index("b"); a != 0 || b != 1 || names.Index("a") != 0 || names.Lookup("b") != 1 {
		t.Errorf("indices %d and %d", a, b)
	}
	if names.Name(1) != "b" || names.Name(2) != "" || names.Name(-1) != "" || names.Len() != 2 {
		t.Errorf("%+v", names)
	}
}

// TestTable: the index of a row does not change, and the index of a deleted row is reused
// for the next row.
func TestTable(t *testing.T) {
	var table Table[string]
	if index, row := table.Find("a"); index != -1 || row != nil || table.Get(0) != nil {
		t.Error("the zero value is not empty")
	}
	rows := []string{"row a", "row b", "row c"}
	for i, name := range []string{"a", "b", "c"} {
		if index := table.Add(name, &rows[i]); index != i {
			t.Errorf("%s has index %d", name, index)
		}
	}
	table.Delete("b")
	table.Delete("none")
	if index, row := table.Find("b"); index != -1 || row != nil || table.Get(1) != nil {
		t.Error("row b is not deleted")
	}
	var visited []int
	table.All(func(index int, _ *string) { visited = append(visited, index) })
	if !slices.Equal(visited, []int{0, 2}) {
		t.Errorf("visited %v", visited)
	}
	if index := table.Add("d", &rows[1]); index != 1 || table.Get(1) != &rows[1] {
		t.Errorf("d has index %d", index)
	}
}

// TestTaskSet: a set grows as tasks are added, and a copy of the set does not change.
func TestTaskSet(t *testing.T) {
	var set TaskSet
	set.Set(9)
	clone := set.Clone()
	set.Set(0)
	set.Set(100)
	for task, want := range map[int]bool{0: true, 1: false, 8: false, 9: true, 100: true, 101: false, 5000: false} {
		if set.Has(task) != want {
			t.Errorf("%d is in the set: %t", task, !want)
		}
	}
	if !clone.Has(9) || clone.Has(0) || clone.Has(100) {
		t.Errorf("the copy is %v", clone)
	}
}
