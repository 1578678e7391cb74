package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const operationsPage = "docs/operations.md"

// A logEvent is a line of the log: its level, and the name of its event.
type logEvent struct{ level, name string }

// listedEvents lists the rows of the table of log lines: | level | `event` | keys | meaning |.
func listedEvents(text string) []logEvent {
	row := regexp.MustCompile("(?m)^\\| (error|warn|info|debug) \\| `([^`]+)` \\|")
	var events []logEvent
	for _, match := range row.FindAllStringSubmatch(text, -1) {
		events = append(events, logEvent{level: match[1], name: match[2]})
	}
	return events
}

// loggedEvents lists the events that a file logs: calls like x.Log.Info("event", ...).
func loggedEvents(file *ast.File) []logEvent {
	var events []logEvent
	ast.Inspect(file, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			if event, logs := loggedEvent(call); logs {
				events = append(events, event)
			}
		}
		return true
	})
	return events
}

func loggedEvent(call *ast.CallExpr) (event logEvent, logs bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !isLogger(method.X) {
		return logEvent{}, false
	}
	level := strings.ToLower(method.Sel.Name)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, level) {
		return logEvent{}, false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return logEvent{level: level, name: "(no literal)"}, true
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil {
		name = literal.Value
	}
	return logEvent{level: level, name: name}, true
}

// isLogger reports whether an expression is named like a logger: log, Log or x.Log.
func isLogger(expression ast.Expr) bool {
	switch e := expression.(type) {
	case *ast.Ident:
		return strings.EqualFold(e.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(e.Sel.Name, "log")
	default:
		return false
	}
}

// The table of log lines in docs/operations.md lists what the program logs, no more and no less.
func TestLogEventsAreListed(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, operationsPage))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[logEvent]bool{}
	for _, event := range listedEvents(string(text)) {
		listed[event] = true
	}
	logged := map[logEvent]bool{}
	for _, file := range goFiles(t) {
		if strings.HasSuffix(file, "_test.go") || strings.HasPrefix(file, "internal/scenario/") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, event := range loggedEvents(parsed) {
			logged[event] = true
			if !listed[event] {
				t.Errorf("%s logs %q at level %s, which %s doesn't list", file, event.name, event.level, operationsPage)
			}
		}
	}
	for event := range listed {
		if !logged[event] {
			t.Errorf("%s lists %q at level %s, which nothing logs", operationsPage, event.name, event.level)
		}
	}
	if len(logged) < 10 {
		t.Errorf("%d events found", len(logged))
	}
}

func TestLoggedEvents(t *testing.T) {
	source := `package p
func f() {
	r.Log.Info("granted", "shard", 1)
	log.Warn("accept")
	c.config.Log.Error(name)
	fmt.Error("no log")
	r.Log.With("x").Info("no name of a logger")
	r.Log.Enabled(ctx, 1)
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := []logEvent{{"info", "granted"}, {"warn", "accept"}, {"error", "(no literal)"}}
	if got := loggedEvents(file); !slices.Equal(got, want) {
		t.Errorf("%v instead of %v", got, want)
	}
	table := "| level | event |\n| --- | --- |\n| info | `granted` | `shard` | a grant |\n| other | `x` | |\n"
	if got := listedEvents(table); !slices.Equal(got, want[:1]) {
		t.Errorf("%v instead of %v", got, want[:1])
	}
}
