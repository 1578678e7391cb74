package storage

// TaskSet is a set of task numbers as a bitmap, which is also the stored form. Nil is empty.
type TaskSet []byte

// Has reports whether a task is in the set.
func (s TaskSet) Has(task int) bool { return task>>3 < len(s) && s[task>>3]&(1<<(task&7)) != 0 }

// Set adds a task and grows the bitmap as needed.
func (s *TaskSet) Set(task int) {
	for task>>3 >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[task>>3] |= 1 << (task & 7)
}

// Clone returns a copy of the set.
func (s TaskSet) Clone() TaskSet { return append(TaskSet(nil), s...) }
