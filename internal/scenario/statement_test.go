package scenario

import (
	"slices"
	"testing"
	"time"
)

// TestParseStatement checks that a line is split into its verb, positional arguments and
// pairs, and that a missing argument is recorded as an error.
func TestParseStatement(t *testing.T) {
	line := parseStatement("submit run-1 20s tasks=3 types=a,b runs=1,2.5 spot=1 zone=")
	switch {
	case line.verb != "submit", line.arg(0) != "run-1", line.duration(line.arg(1)) != 20*time.Second:
		t.Errorf("%+v", line)
	case line.number("tasks", 1) != 3, line.number("cpus", 7) != 7, line.text("zone", "north") != "":
		t.Errorf("%+v", line)
	case !slices.Equal(line.list("types"), []string{"a", "b"}), line.list("zone") != nil:
		t.Errorf("%+v", line)
	case !slices.Equal(line.numbers("runs"), []float64{1, 2.5}), !line.flag("spot"), line.flag("spread"):
		t.Errorf("%+v", line)
	case line.err != nil:
		t.Error(line.err)
	}
	if line.arg(2) != "" || line.err == nil {
		t.Error("missing argument: want an empty string and an error")
	}
}

// TestStatementLines checks that comments and empty lines are removed.
func TestStatementLines(t *testing.T) {
	got := statementLines([]byte("# a comment\n\n 1s crash a # and why\n2s start a"))
	if want := []string{"1s crash a", "2s start a"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
