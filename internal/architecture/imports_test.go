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

// importGraph maps the directory of each package to the directories of the module's packages that
// its files import. It includes test files and ignores build constraints.
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

// checkOrder returns the violations of the rule that a package may import only packages listed
// before it: imports against the order, packages missing from the list, and listed packages that
// do not exist or are listed twice.
func checkOrder(order []string, graph importGraph) []string {
	positions := map[string]int{}
	var problems []string
	for i, dir := range order {
		if _, duplicate := positions[dir]; duplicate {
			problems = append(problems, dir+" is listed twice")
		}
		positions[dir] = i
		if _, exists := graph[dir]; !exists {
			problems = append(problems, dir+" is listed but does not exist")
		}
	}
	for _, dir := range slices.Sorted(maps.Keys(graph)) {
		position, listed := positions[dir]
		if !listed {
			problems = append(problems, dir+" is not listed")
			continue
		}
		for _, imported := range slices.Compact(slices.Sorted(slices.Values(graph[dir]))) {
			if importedPosition, known := positions[imported]; imported != dir && (!known || importedPosition >= position) {
				problems = append(problems, fmt.Sprintf("%s imports %s, which is not listed above it", dir, imported))
			}
		}
	}
	return problems
}

// TestImportsFollowDocumentedOrder checks all imports against the package list on the page.
func TestImportsFollowDocumentedOrder(t *testing.T) {
	order := readPage(t).packages()
	if len(order) < 10 {
		t.Fatalf("%s lists %d packages, want at least 10: %v", pagePath, len(order), order)
	}
	for _, problem := range checkOrder(order, readImports(t)) {
		t.Errorf("%s: %s", pagePath, problem)
	}
}

func TestCheckOrder(t *testing.T) {
	order := []string{"low", "middle", "high"}
	cases := map[string]struct {
		graph importGraph
		want  string
	}{
		"imports in order": {importGraph{"low": nil, "middle": {"low"}, "high": {"low", "middle"}}, ""},
		"import of the package itself": {
			importGraph{"low": {"low"}, "middle": nil, "high": nil}, ""},
		"import against the order": {
			importGraph{"low": {"high"}, "middle": nil, "high": nil}, "low imports high, which is not listed above it"},
		"import of an unlisted package": {
			importGraph{"low": nil, "middle": {"other"}, "high": nil}, "middle imports other, which is not listed above it"},
		"unlisted package": {importGraph{"low": nil, "middle": nil, "high": nil, "other": nil}, "other is not listed"},
		"missing package":  {importGraph{"low": nil, "high": nil}, "middle is listed but does not exist"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := strings.Join(checkOrder(order, c.graph), "; "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
	if got := checkOrder([]string{"low", "low"}, importGraph{"low": nil}); len(got) != 1 {
		t.Errorf("package listed twice: got problems %v, want one", got)
	}
}
