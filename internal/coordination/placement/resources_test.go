package placement

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestFits checks each resource on its own, at its limit.
func TestFits(t *testing.T) {
	free := MachineCapacity(&protocol.MachineType{CPUs: 4, GPUs: 1, MemoryGB: 0.3})
	for _, c := range []struct {
		name string
		need protocol.JobSpec
		want bool
	}{
		{"no resources", protocol.JobSpec{}, true},
		{"all resources", protocol.JobSpec{CPUs: 4, GPUs: 1, MemoryGB: 0.3}, true},
		{"rounding error at the limit", protocol.JobSpec{MemoryGB: 0.1 + 0.2}, true},
		{"too many CPUs", protocol.JobSpec{CPUs: 4.001}, false},
		{"too many GPUs", protocol.JobSpec{GPUs: 2}, false},
		{"too much memory", protocol.JobSpec{MemoryGB: 0.301}, false},
	} {
		if got := free.Fits(&storage.Job{JobSpec: c.need}); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestCount checks how many tasks fit, up to the job's number of tasks.
func TestCount(t *testing.T) {
	for _, c := range []struct {
		name string
		free Resources
		want int
	}{
		{"none", Resources{CPUs: 1, MemoryGB: 64, TaskSlots: 100}, 0},
		{"as many as fit", Resources{CPUs: 7, MemoryGB: 64, TaskSlots: 100}, 3},
		{"limited by the scarcest resource", Resources{CPUs: 7, MemoryGB: 2, TaskSlots: 100}, 2},
		{"limited by the slots for tasks", Resources{CPUs: 7, MemoryGB: 64, TaskSlots: 1}, 1},
		{"limited by the number of tasks", Resources{CPUs: 100, MemoryGB: 100, TaskSlots: 100}, 5},
	} {
		if got := c.free.Count(&storage.Job{JobSpec: protocol.JobSpec{Tasks: 5, CPUs: 2, MemoryGB: 1}}); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

// TestAddUndoesSubtract checks that Add reverses Subtract and that Min compares each resource
// on its own.
func TestAddUndoesSubtract(t *testing.T) {
	j := &storage.Job{JobSpec: protocol.JobSpec{CPUs: 1, GPUs: 2, MemoryGB: 3}}
	free := Resources{CPUs: 4, GPUs: 4, MemoryGB: 4, TaskSlots: 4}
	free.Subtract(j)
	if want := (Resources{CPUs: 3, GPUs: 2, MemoryGB: 1, TaskSlots: 3}); free != want {
		t.Errorf("after Subtract: %+v, want %+v", free, want)
	}
	if least, want := free.Min(TaskResources(j)), (Resources{CPUs: 1, GPUs: 2, MemoryGB: 1, TaskSlots: 1}); least != want {
		t.Errorf("Min returned %+v, want %+v", least, want)
	}
	if free.Add(j); free != (Resources{CPUs: 4, GPUs: 4, MemoryGB: 4, TaskSlots: 4}) {
		t.Errorf("after Add: %+v", free)
	}
}

// TestDominates checks which differences let a machine run a task of a but not one of b.
func TestDominates(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(a, b *storage.Job)
		want   bool
	}{
		{"equal jobs", func(*storage.Job, *storage.Job) {}, true},
		{"a uses more of everything", func(a, _ *storage.Job) { a.CPUs, a.GPUs, a.MemoryGB = 2, 2, 2 }, true},
		{"a uses fewer CPUs", func(_, b *storage.Job) { b.CPUs = 2 }, false},
		{"a uses fewer GPUs", func(_, b *storage.Job) { b.GPUs = 2 }, false},
		{"a uses less memory", func(_, b *storage.Job) { b.MemoryGB = 2 }, false},
		{"a in another shard", func(a, _ *storage.Job) { a.Shard = 1 }, false},
		{"only b allows spot machines", func(_, b *storage.Job) { b.Spot = true }, true},
		{"only a allows spot machines", func(a, _ *storage.Job) { a.Spot = true }, false},
		{"only a is bound to a zone", func(a, _ *storage.Job) { a.ZoneIndex = 1 }, true},
		{"only b is bound to a zone", func(_, b *storage.Job) { b.ZoneIndex = 1 }, false},
		{"both bound to the same zone", func(a, b *storage.Job) { a.ZoneIndex, b.ZoneIndex = 1, 1 }, true},
		{"only a is bound to machine types", func(a, _ *storage.Job) { a.MachineTypeIndices = []int{1} }, true},
		{"only b is bound to machine types", func(_, b *storage.Job) { b.MachineTypeIndices = []int{1} }, false},
		{"both bound to the same machine types", func(a, b *storage.Job) { a.MachineTypeIndices, b.MachineTypeIndices = []int{1}, []int{1} }, true},
	} {
		plain := func() *storage.Job {
			return &storage.Job{JobSpec: protocol.JobSpec{CPUs: 1, GPUs: 1, MemoryGB: 1}, ZoneIndex: -1}
		}
		a, b := plain(), plain()
		if c.change(a, b); Dominates(a, b) != c.want {
			t.Errorf("%s: got %t, want %t", c.name, !c.want, c.want)
		}
	}
}
