package storage

// Names gives names dense indices. Names are turned into indices where records are
// read; all that works on the view compares indices. The zero value is empty.
type Names struct {
	ids   map[string]int
	names []string
}

// ID returns the index of a name, giving it one if need be.
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

// Lookup returns the index of a name, or -1.
func (n *Names) Lookup(name string) int {
	if id, ok := n.ids[name]; ok {
		return id
	}
	return -1
}

// Len returns how many names there are.
func (n *Names) Len() int { return len(n.names) }

// Name returns the name with an index, or an empty one.
func (n *Names) Name(id int) string {
	if id < 0 || id >= len(n.names) {
		return ""
	}
	return n.names[id]
}

// Table holds rows by name under dense indices. The index of a dropped row is given to
// a later one. The zero value is empty.
type Table[T any] struct {
	ids  map[string]int
	rows []*T
	free []int // indices of dropped rows, the next to be used last
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

// Add puts a row under a name that the table does not have and returns its index.
func (t *Table[T]) Add(name string, row *T) int {
	if t.ids == nil {
		t.ids = map[string]int{}
	}
	id := t.nextIndex()
	t.rows[id] = row
	t.ids[name] = id
	return id
}

// nextIndex makes room for a row.
func (t *Table[T]) nextIndex() int {
	if n := len(t.free); n > 0 {
		id := t.free[n-1]
		t.free = t.free[:n-1]
		return id
	}
	t.rows = append(t.rows, nil)
	return len(t.rows) - 1
}

// Drop removes the row of a name, if there is one.
func (t *Table[T]) Drop(name string) {
	if id, ok := t.ids[name]; ok {
		delete(t.ids, name)
		t.rows[id] = nil
		t.free = append(t.free, id)
	}
}

// All calls visit for every row in the order of the indices.
func (t *Table[T]) All(visit func(id int, row *T)) {
	for id, row := range t.rows {
		if row != nil {
			visit(id, row)
		}
	}
}
