package protocol

import "testing"

// TestValidJobID checks which job IDs are valid.
func TestValidJobID(t *testing.T) {
	for id, want := range map[string]bool{
		"run-0": true, "run-000412": true, "run-123456789012345678": true, "run-1234567890123456789": false,
		"run-": false, "run-1a": false, "run- 1": false, "run--1": false, "Run-1": false, "xrun-1": false, "run-1\n": false, "run-١": false, "": false,
	} {
		if ValidJobID(id) != want {
			t.Errorf("%q: valid %t, want %t", id, !want, want)
		}
	}
}

// TestParseTaskName checks that ParseTaskName inverts TaskName and rejects other names.
func TestParseTaskName(t *testing.T) {
	if job, task, err := ParseTaskName(TaskName("run-000412", 3)); err != nil || job != "run-000412" || task != 3 {
		t.Errorf("job %s, task %d, error %v", job, task, err)
	}
	for _, name := range []string{"", "run-1", "run-1/", "run-1/x", "run-1/-1", "x/1", "run-1/100000"} {
		if _, _, err := ParseTaskName(name); err == nil {
			t.Errorf("%q was accepted as a task name", name)
		}
	}
}
