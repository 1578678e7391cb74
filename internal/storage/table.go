// Package storage keeps what a controller knows: jobs, tasks, machines,
// teams and grants, and the durable records they are read from. It does no
// I/O; records reach it through Cache.Apply and Cache.Remove, in the order in
// which the state service made the changes.
package storage

// Names gives names dense indices. It is the door through which every name
// enters; behind it the program handles indices.
type Names struct {
	ids   map[string]int
	names []string
}

// ID returns the index of name, giving it one if need be.
func (n *Names) ID(name string) int {
	if id, ok := n.ids[name]; ok {
		return id
	}
	if n.ids == nil {
		n.ids = map[string]int{}
	}
	id := len(n.names)
	n.ids[name] = id
	n.names = append(n.names, name)
	return id
}

// Lookup returns the index of name, or -1.
func (n *Names) Lookup(name string) int {
	if id, ok := n.ids[name]; ok {
		return id
	}
	return -1
}

// Len returns how many names there are.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name with an index.
func (n *Names) Name(id int) string {
	if id < 0 || id >= len(n.names) {
		return ""
	}
	return n.names[id]
}

// Table holds rows under dense indices. The index of a removed row is used
// again.
type Table[T any] struct {
	ids  map[string]int
	rows []*T
	free []int
}

// Get returns the row with an index, or nil.
func (t *Table[T]) Get(id int) *T {
	if id < 0 || id >= len(t.rows) {
		return nil
	}
	return t.rows[id]
}

// Find returns the index and row of a name, or -1 and nil.
func (t *Table[T]) Find(name string) (int, *T) {
	id, ok := t.ids[name]
	if !ok {
		return -1, nil
	}
	return id, t.rows[id]
}

// Add puts a row under a new name.
func (t *Table[T]) Add(name string, row *T) int {
	if t.ids == nil {
		t.ids = map[string]int{}
	}
	var id int
	if n := len(t.free); n > 0 {
		id = t.free[n-1]
		t.free = t.free[:n-1]
		t.rows[id] = row
	} else {
		id = len(t.rows)
		t.rows = append(t.rows, row)
	}
	t.ids[name] = id
	return id
}

// Drop removes a row.
func (t *Table[T]) Drop(name string) {
	if id, ok := t.ids[name]; ok {
		delete(t.ids, name)
		t.rows[id] = nil
		t.free = append(t.free, id)
	}
}

// All calls f for every row in the order of the indices.
func (t *Table[T]) All(f func(id int, row *T)) {
	for id, row := range t.rows {
		if row != nil {
			f(id, row)
		}
	}
}

// Bits is a set of task numbers.
type TaskSet []byte

// Has reports whether i is in the set.
func (b TaskSet) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set adds i, growing the set.
func (b *TaskSet) Set(i int) {
	for i>>3 >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[i>>3] |= 1 << (i & 7)
}

// Clone copies the set.
func (b TaskSet) Clone() TaskSet { return append(TaskSet(nil), b...) }
