package architecture

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// importGraph maps each package's directory to the directories of the module's packages that
// its files import, tests included, whatever their build constraints.
type importGraph map[string][]string

func readImports(t *testing.T) importGraph {
	t.Helper()
	graph := importGraph{}
	for _, file := range goFiles(t) {
		dir := filepath.Dir(file)
		graph[dir] = append(graph[dir], moduleImports(t, file)...)
	}
	return graph
}

// goFiles lists the Go files of the module, relative to its root.
func goFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "testdata" {
				return fs.SkipDir
			}
			if filepath.Ext(path) == ".go" {
				files = append(files, strings.TrimPrefix(path, root+"/"))
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func moduleImports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var dirs []string
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if dir, ok := strings.CutPrefix(path, modulePath+"/"); ok {
			dirs = append(dirs, dir)
		}
	}
	return dirs
}

// checkOrder says what is wrong with a graph if packages may import only those that stand
// before them in an order: imports against it, packages that it lacks or that don't exist.
func checkOrder(order []string, graph importGraph) []string {
	rank := map[string]int{}
	var wrong []string
	for i, dir := range order {
		if _, twice := rank[dir]; twice {
			wrong = append(wrong, dir+" is on the page twice")
		}
		rank[dir] = i
		if _, exists := graph[dir]; !exists {
			wrong = append(wrong, dir+" is on the page and doesn't exist")
		}
	}
	for _, dir := range slices.Sorted(maps.Keys(graph)) {
		own, listed := rank[dir]
		if !listed {
			wrong = append(wrong, dir+" isn't on the page")
			continue
		}
		for _, imported := range slices.Compact(slices.Sorted(slices.Values(graph[dir]))) {
			if at, known := rank[imported]; imported != dir && (!known || at >= own) {
				wrong = append(wrong, fmt.Sprintf("%s imports %s, which doesn't stand above it", dir, imported))
			}
		}
	}
	return wrong
}

func TestImportsFollowThePage(t *testing.T) {
	order := readPage(t).packages()
	if len(order) < 10 {
		t.Fatalf("the page lists %d packages: %v", len(order), order)
	}
	for _, wrong := range checkOrder(order, readImports(t)) {
		t.Error(wrong)
	}
}

func TestCheckOrder(t *testing.T) {
	order := []string{"low", "middle", "high"}
	cases := map[string]struct {
		graph importGraph
		want  string
	}{
		"all upwards": {importGraph{"low": nil, "middle": {"low"}, "high": {"low", "middle"}}, ""},
		"a test of the package itself": {
			importGraph{"low": {"low"}, "middle": nil, "high": nil}, ""},
		"downwards": {
			importGraph{"low": {"high"}, "middle": nil, "high": nil}, "low imports high, which doesn't stand above it"},
		"of an unlisted package": {
			importGraph{"low": nil, "middle": {"other"}, "high": nil}, "middle imports other, which doesn't stand above it"},
		"not listed":     {importGraph{"low": nil, "middle": nil, "high": nil, "other": nil}, "other isn't on the page"},
		"does not exist": {importGraph{"low": nil, "high": nil}, "middle is on the page and doesn't exist"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := strings.Join(checkOrder(order, c.graph), "; "); got != c.want {
				t.Errorf("%q instead of %q", got, c.want)
			}
		})
	}
	if got := checkOrder([]string{"low", "low"}, importGraph{"low": nil}); len(got) != 1 {
		t.Errorf("a package listed twice: %v", got)
	}
}
