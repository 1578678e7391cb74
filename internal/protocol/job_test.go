package protocol

import "testing"

// TestValidJobID: the one form of a job id.
func TestValidJobID(t *testing.T) {
	for id, want := range map[string]bool{
		"run-0": true, "run-000412": true, "run-123456789012345678": true, "run-1234567890123456789": false,
		"run-": false, "run-1a": false, "run- 1": false, "run--1": false, "Run-1": false, "xrun-1": false, "run-1\n": false, "run-١": false, "": false,
	} {
		if ValidJobID(id) != want {
			t.Errorf("%q: %t", id, !want)
		}
	}
}

// TestTaskNames: what TaskName makes is read back, and nothing else is read.
func TestTaskNames(t *testing.T) {
	if job, task, err := ParseTaskName(TaskName("run-000412", 3)); err != nil || job != "run-000412" || task != 3 {
		t.Errorf("%s %d %v", job, task, err)
	}
	for _, name := range []string{"", "run-1", "run-1/", "run-1/x", "run-1/-1", "x/1", "run-1/100000"} {
		if _, _, err := ParseTaskName(name); err == nil {
			t.Errorf("%q was taken for a task", name)
		}
	}
}
