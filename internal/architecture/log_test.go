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

// logEvent is the level and the event name of a log line.
type logEvent struct{ level, name string }

// documentedEvents lists the events in the table of log lines. Its rows have the form
// | level | `event` | keys | meaning |.
func documentedEvents(text string) []logEvent {
	row := regexp.MustCompile("(?m)^\\| (error|warn|info|debug) \\| `([^`]+)` \\|")
	var events []logEvent
	for _, match := range row.FindAllStringSubmatch(text, -1) {
		events = append(events, logEvent{level: match[1], name: match[2]})
	}
	return events
}

// loggedEvents lists the events that a file logs by calls like x.Log.Info("event", ...).
func loggedEvents(file *ast.File) []logEvent {
	var events []logEvent
	ast.Inspect(file, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			if event, isLogCall := loggedEvent(call); isLogCall {
				events = append(events, event)
			}
		}
		return true
	})
	return events
}

// loggedEvent returns the event that a call logs, and whether the call is a log call.
func loggedEvent(call *ast.CallExpr) (event logEvent, isLogCall bool) {
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
		return logEvent{level: level, name: "(not a literal)"}, true
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil {
		name = literal.Value
	}
	return logEvent{level: level, name: name}, true
}

// isLogger reports whether an expression has the name of a logger: log, Log or x.Log.
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

// TestLogEventsAreDocumented checks that the table of log lines in docs/operations.md lists exactly
// the events that the program logs.
func TestLogEventsAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, operationsPage))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[logEvent]bool{}
	for _, event := range documentedEvents(string(text)) {
		documented[event] = true
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
			if !documented[event] {
				t.Errorf("%s logs %q at level %s, which %s does not list", file, event.name, event.level, operationsPage)
			}
		}
	}
	for event := range documented {
		if !logged[event] {
			t.Errorf("%s lists %q at level %s, which the program does not log", operationsPage, event.name, event.level)
		}
	}
	if len(logged) < 10 {
		t.Errorf("found %d log events in the sources, want at least 10", len(logged))
	}
}

func TestLoggedEvents(t *testing.T) {
	source := `package p
func f() {
	r.Log.Info("shard granted", "shard", 1)
	log.Warn("connection failed")
	c.config.Log.Error(name)
	fmt.Error("not a logger")
	r.Log.With("x").Info("receiver without the name of a logger")
	r.Log.Enabled(ctx, 1)
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := []logEvent{{"info", "shard granted"}, {"warn", "connection failed"}, {"error", "(not a literal)"}}
	if got := loggedEvents(file); !slices.Equal(got, want) {
		t.Errorf("logged events: got %v, want %v", got, want)
	}
	table := "| level | event |\n| --- | --- |\n| info | `shard granted` | `shard` | a grant |\n| other | `x` | |\n"
	if got := documentedEvents(table); !slices.Equal(got, want[:1]) {
		t.Errorf("documented events: got %v, want %v", got, want[:1])
	}
}
