package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// knownNames holds the names that may appear in backticks on the page.
type knownNames struct {
	packages map[string]bool // directories and their last elements
	files    map[string]bool // names of Go files, without directories
	declared map[string]bool // declarations outside tests: X, and T.X for methods and fields
	literals string          // string literals outside tests: wire names, record keys, settings
}

func readNames(t *testing.T) *knownNames {
	t.Helper()
	names := &knownNames{packages: map[string]bool{}, files: map[string]bool{}, declared: map[string]bool{}}
	var literals strings.Builder
	for _, file := range goFiles(t) {
		names.addFile(file)
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			names.addDeclaration(node)
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				literals.WriteString(literal.Value + "\n")
			}
			return true
		})
	}
	names.literals = literals.String()
	return names
}

func (k *knownNames) addFile(file string) {
	k.files[path.Base(file)] = true
	k.packages[path.Dir(file)] = true
	k.packages[path.Base(path.Dir(file))] = true
}

// addDeclaration adds the names that a node declares, and HTTP header constants that it uses.
func (k *knownNames) addDeclaration(node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		k.declared[n.Name.Name] = true
		if n.Recv != nil {
			k.declared[receiverType(n)+"."+n.Name.Name] = true
		}
	case *ast.TypeSpec:
		k.declared[n.Name.Name] = true
		for _, field := range memberNames(n.Type) {
			k.declared[n.Name.Name+"."+field] = true
			k.declared[field] = true
		}
	case *ast.SelectorExpr:
		if strings.HasPrefix(n.Sel.Name, "Header") {
			k.declared[n.Sel.Name] = true
		}
	case *ast.ValueSpec:
		for _, name := range n.Names {
			k.declared[name.Name] = true
		}
	}
}

func receiverType(f *ast.FuncDecl) string {
	switch receiver := f.Recv.List[0].Type.(type) {
	case *ast.StarExpr:
		return typeName(receiver.X)
	default:
		return typeName(receiver)
	}
}

// typeName returns the name of a type without its type parameters.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	default:
		return ""
	}
}

// memberNames lists the fields of a struct or the methods of an interface.
func memberNames(expression ast.Expr) []string {
	var list *ast.FieldList
	switch e := expression.(type) {
	case *ast.StructType:
		list = e.Fields
	case *ast.InterfaceType:
		list = e.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

var (
	fileName    = regexp.MustCompile(`^[\w.-]+\.(go|md|toml|hcl|txt|json)$`)
	identifier  = regexp.MustCompile(`^(\w+\.)?(\w+)(\.\w+)?(\(\))?$`)
	literalName = regexp.MustCompile(`^[/\w .:-]+$`)
)

// has reports whether a name exists. The name may be a path relative to the module's root, to
// internal or to internal/coordination; a file; a package; a declaration (X, T.X, package.X or
// package.T.X); a command; a header; or whole words of a string literal.
func (k *knownNames) has(name string) bool {
	switch {
	case strings.Contains(name, "/") && isPath(name):
		return true
	case fileName.MatchString(name):
		return k.files[name] || pathExists(name)
	case k.packages[name] || k.isDeclared(strings.TrimSuffix(name, "()")) || k.isCommand(name) || k.isHeader(name):
		return true
	default:
		return k.isInStringLiteral(routePattern(name))
	}
}

// isCommand reports whether a name is a command of the program, such as "rockrun check".
func (k *knownNames) isCommand(name string) bool {
	command, ok := strings.CutPrefix(name, modulePath+" ")
	return ok && command != "" && k.declared["cli."+strings.ToUpper(command[:1])+command[1:]]
}

// isHeader reports whether a name is an HTTP header whose constant the sources use: "Retry-After"
// exists if HeaderRetryAfter is used.
func (k *knownNames) isHeader(name string) bool {
	return strings.Contains(name, "-") && k.declared["Header"+strings.ReplaceAll(name, "-", "")]
}

var (
	requestMethod = regexp.MustCompile(`^(GET|POST) `)
	pathParameter = regexp.MustCompile(`\{(\w+)\}`)
)

// routePattern returns the route of a request as written in the sources: /jobs/:id for
// "GET /jobs/{id}".
func routePattern(name string) string {
	return pathParameter.ReplaceAllString(requestMethod.ReplaceAllString(name, ""), ":$1")
}

func (k *knownNames) isDeclared(name string) bool {
	if !identifier.MatchString(name) {
		return false
	}
	if k.declared[name] {
		return true
	}
	packageName, rest, qualified := strings.Cut(name, ".")
	return qualified && k.packages[packageName] && k.declared[rest]
}

// isInStringLiteral reports whether a string literal contains a name as whole words. Paths of
// packages do not count, because internal/x must exist as a directory.
func (k *knownNames) isInStringLiteral(name string) bool {
	if !literalName.MatchString(name) || strings.HasPrefix(name, "internal/") || strings.HasPrefix(name, "cmd/") {
		return false
	}
	wholeWord := regexp.MustCompile(`(^|[^\w])` + regexp.QuoteMeta(name) + `([^\w]|$)`)
	return wholeWord.MatchString(k.literals)
}

func pathExists(file string) bool {
	_, err := os.Stat(filepath.Join(root, file))
	return err == nil
}

func isPath(name string) bool {
	return !strings.HasPrefix(name, "/") &&
		(pathExists(name) || pathExists("internal/"+name) || pathExists("internal/coordination/"+name))
}

// TestArchitecturePageNamesExist checks that every name in backticks on the page exists.
func TestArchitecturePageNamesExist(t *testing.T) {
	page, names := readPage(t), readNames(t)
	for _, name := range quotedNames(page.text) {
		if !names.has(name) {
			t.Errorf("%s names `%s`, which is not a file, package, declaration or string literal", pagePath, name)
		}
	}
}

// TestStateOwnersArePackages checks that the owners in the table of state are packages: a name that
// only exists as a declaration or string literal is not sufficient.
func TestStateOwnersArePackages(t *testing.T) {
	owners, names := readPage(t).owners(), readNames(t)
	if len(owners) < 5 {
		t.Fatalf("%s names %d owners of state, want at least 5: %v", pagePath, len(owners), owners)
	}
	for _, name := range owners {
		if !names.packages[name] {
			t.Errorf("%s names `%s` as an owner of state, which is not a package", pagePath, name)
		}
	}
}

func TestKnownNames(t *testing.T) {
	names := readNames(t)
	cases := map[string]bool{
		"internal/storage":                     true,
		"storage":                              true,
		"coordination/election":                true,
		"docs/design.md":                       true,
		"internal/coordination/loop/window.go": true,
		"loop/window.go":                       true,
		"window.go":                            true,
		"View":                                 true,
		"View.Apply":                           true,
		"storage.View.Apply":                   true,
		"/hello":                               true,
		"POST /hello":                          true,
		"GET /submissions/{id}":                true,
		"GET /absent/{id}":                     false,
		"rockrun check":                        true,
		"rockrun absent":                       false,
		"Retry-After":                          true,
		"Retry-Before":                         false,
		"siblings":                             true,
		"internal/bookkeeping":                 false,
		"bookkeeping":                          false,
		"loop/absent.go":                       false,
		"absent_test.go":                       false,
		"docs/absent.md":                       false,
		"absent.md":                            false,
		"View.Absent":                          false,
		"/absent":                              false,
		"sibling":                              false,
	}
	for name, want := range cases {
		if got := names.has(name); got != want {
			t.Errorf("has(%q) = %t, want %t", name, got, want)
		}
	}
}
