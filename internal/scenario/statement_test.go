package scenario

import (
	"slices"
	"testing"
	"time"
)

// TestStatement: a line is taken apart into its verb, arguments and pairs.
func TestStatement(t *testing.T) {
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
		t.Error("a missing argument is no error")
	}
}

// TestStatements: comments and empty lines are left out.
func TestStatements(t *testing.T) {
	got := statements([]byte("# a comment\n\n 1s crash a # and why\n2s start a"))
	if want := []string{"1s crash a", "2s start a"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
