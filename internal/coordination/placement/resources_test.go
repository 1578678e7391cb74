package placement

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestFits: each resource alone, at its border.
func TestFits(t *testing.T) {
	free := MachineCapacity(&protocol.MachineType{CPUs: 4, GPUs: 1, MemoryGB: 0.3})
	for _, c := range []struct {
		name string
		need protocol.JobSpec
		want bool
	}{
		{"nothing", protocol.JobSpec{}, true},
		{"all there is", protocol.JobSpec{CPUs: 4, GPUs: 1, MemoryGB: 0.3}, true},
		{"rounded sums at the border", protocol.JobSpec{MemoryGB: 0.1 + 0.2}, true},
		{"too many CPUs", protocol.JobSpec{CPUs: 4.001}, false},
		{"too many GPUs", protocol.JobSpec{GPUs: 2}, false},
		{"too much memory", protocol.JobSpec{MemoryGB: 0.301}, false},
	} {
		if got := free.Fits(&storage.Job{JobSpec: c.need}); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestCount: how many tasks fit, bounded by what the job has.
func TestCount(t *testing.T) {
	for _, c := range []struct {
		name string
		free Resources
		want int
	}{
		{"none", Resources{CPUs: 1, MemoryGB: 64}, 0},
		{"as many as fit", Resources{CPUs: 7, MemoryGB: 64}, 3},
		{"as the scarcest lets", Resources{CPUs: 7, MemoryGB: 2}, 2},
		{"as many as there are", Resources{CPUs: 100, MemoryGB: 100}, 5},
	} {
		if got := c.free.Count(&storage.Job{JobSpec: protocol.JobSpec{Tasks: 5, CPUs: 2, MemoryGB: 1}}); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

// TestAddUndoesSubtract: what a task took is there again, and Min looks at each resource.
func TestAddUndoesSubtract(t *testing.T) {
	j := &storage.Job{JobSpec: protocol.JobSpec{CPUs: 1, GPUs: 2, MemoryGB: 3}}
	free := Resources{CPUs: 4, GPUs: 4, MemoryGB: 4}
	free.Subtract(j)
	if want := (Resources{CPUs: 3, GPUs: 2, MemoryGB: 1}); free != want {
		t.Errorf("%+v is left, not %+v", free, want)
	}
	if least, want := free.Min(TaskResources(j)), (Resources{CPUs: 1, GPUs: 2, MemoryGB: 1}); least != want {
		t.Errorf("the least is %+v, not %+v", least, want)
	}
	if free.Add(j); free != (Resources{CPUs: 4, GPUs: 4, MemoryGB: 4}) {
		t.Errorf("%+v after it was added", free)
	}
}

// TestDominates: what keeps a place for one job from doing for another.
func TestDominates(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(a, b *storage.Job)
		want   bool
	}{
		{"equal", func(*storage.Job, *storage.Job) {}, true},
		{"larger", func(a, _ *storage.Job) { a.CPUs, a.GPUs, a.MemoryGB = 2, 2, 2 }, true},
		{"fewer CPUs", func(_, b *storage.Job) { b.CPUs = 2 }, false},
		{"fewer GPUs", func(_, b *storage.Job) { b.GPUs = 2 }, false},
		{"less memory", func(_, b *storage.Job) { b.MemoryGB = 2 }, false},
		{"another shard", func(a, _ *storage.Job) { a.Shard = 1 }, false},
		{"only the other may be on spot machines", func(_, b *storage.Job) { b.Spot = true }, true},
		{"only it may be on spot machines", func(a, _ *storage.Job) { a.Spot = true }, false},
		{"it is bound to a zone", func(a, _ *storage.Job) { a.ZoneIndex = 1 }, true},
		{"the other is bound to a zone", func(_, b *storage.Job) { b.ZoneIndex = 1 }, false},
		{"both are bound to one zone", func(a, b *storage.Job) { a.ZoneIndex, b.ZoneIndex = 1, 1 }, true},
		{"it is bound to machine types", func(a, _ *storage.Job) { a.MachineTypeIndices = []int{1} }, true},
		{"the other is bound to machine types", func(_, b *storage.Job) { b.MachineTypeIndices = []int{1} }, false},
		{"both are bound to the same types", func(a, b *storage.Job) { a.MachineTypeIndices, b.MachineTypeIndices = []int{1}, []int{1} }, true},
	} {
		plain := func() *storage.Job {
			return &storage.Job{JobSpec: protocol.JobSpec{CPUs: 1, GPUs: 1, MemoryGB: 1}, ZoneIndex: -1}
		}
		a, b := plain(), plain()
		if c.change(a, b); Dominates(a, b) != c.want {
			t.Errorf("%s: %t", c.name, !c.want)
		}
	}
}
