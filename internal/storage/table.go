package storage

// Names assigns dense indices to names. Names are converted to indices when records are
// read, so that code working on the view compares indices. The zero value is empty.
type Names struct {
	indices map[string]int
	names   []string
}

// Index returns the index of a name, and adds the name if it is new.
func (n *Names) Index(name string) int {
	if index, ok := n.indices[name]; ok {
		return index
	}
	if n.indices == nil {
		n.indices = map[string]int{}
	}
	index := len(n.names)
	n.indices[name] = index
	n.names = append(n.names, name)
	return index
}

// Lookup returns the index of a name, or -1 if the name is not present.
func (n *Names) Lookup(name string) int {
	if index, ok := n.indices[name]; ok {
		return index
	}
	return -1
}

// Len returns the number of names.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name with an index, or an empty string if there is none.
func (n *Names) Name(index int) string {
	if index < 0 || index >= len(n.names) {
		return ""
	}
	return n.names[index]
}

// Table holds named rows under dense indices. The index of a deleted row is reused for a
// later row. The zero value is empty.
type Table[T any] struct {
	indices map[string]int
	rows    []*T
	free    []int // indices of deleted rows; the last is reused first
}

// Get returns the row with an index, or nil if there is none.
func (t *Table[T]) Get(index int) *T {
	if index < 0 || index >= len(t.rows) {
		return nil
	}
	return t.rows[index]
}

// Find returns the index and row of a name, or -1 and nil if there is none.
func (t *Table[T]) Find(name string) (int, *T) {
	index, ok := t.indices[name]
	if !ok {
		return -1, nil
	}
	return index, t.rows[index]
}

// Add stores a row under a new name and returns its index. The table must not have the
// name yet.
func (t *Table[T]) Add(name string, row *T) int {
	if t.indices == nil {
		t.indices = map[string]int{}
	}
	index := t.allocateIndex()
	t.rows[index] = row
	t.indices[name] = index
	return index
}

// allocateIndex returns the index of a free row, and extends the table if there is none.
func (t *Table[T]) allocateIndex() int {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		return index
	}
	t.rows = append(t.rows, nil)
	return len(t.rows) - 1
}

// Delete removes the row of a name. It does nothing if there is none.
func (t *Table[T]) Delete(name string) {
	if index, ok := t.indices[name]; ok {
		delete(t.indices, name)
		t.rows[index] = nil
		t.free = append(t.free, index)
	}
}

// All calls visit for every row in ascending order of the indices.
func (t *Table[T]) All(visit func(index int, row *T)) {
	for index, row := range t.rows {
		if row != nil {
			visit(index, row)
		}
	}
}
