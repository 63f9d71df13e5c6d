package carobkeel_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// metricTypes maps each method or function that creates a metric to the metric's
// type in docs/METRICS.md. The metric's name is its first string argument.
var metricTypes = map[string]string{
	"Counter":         "counter",
	"Gauge":           "gauge",
	"Histogram":       "histogram",
	"Timer":           "timer",
	"NewCodeCounters": "counter",
}

// metric is one row of docs/METRICS.md.
type metric struct{ name, kind, folder string }

func (m metric) row() string {
	return "| `" + m.name + "` | " + m.kind + " | " + m.folder + " | "
}

// scopes maps the variables of a function to their SubScope prefix.
type scopes map[string]string

// prefix returns the names of the chained SubScope calls in expr, each followed
// by an underscore.
func (s scopes) prefix(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.Ident:
		return s[e.Name]
	case *ast.CallExpr:
		selector, ok := e.Fun.(*ast.SelectorExpr)
		if !ok {
			return ""
		}
		outer := s.prefix(selector.X)
		if selector.Sel.Name == "SubScope" {
			return outer + literal(e.Args) + "_"
		}
		return outer
	}
	return ""
}

func literal(args []ast.Expr) string {
	for _, arg := range args {
		if basic, ok := arg.(*ast.BasicLit); ok && basic.Kind == token.STRING {
			text, _ := strconv.Unquote(basic.Value)
			return text
		}
	}
	return ""
}

// metricsOf returns the metrics that the file creates. Calls whose name is not a
// literal are returned separately, since they can't be checked. A constructor of
// a group for telemetry.NewByOwner gets its scope as a parameter; its metrics
// have the prefix of the SubScope that NewByOwner was called with.
func metricsOf(t *testing.T, path string) (found []metric, unresolved []string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	groupPrefix := groupConstructors(file)
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		known := scopes{}
		if prefix, ok := groupPrefix[function.Name.Name]; ok {
			known = scopesOfParameters(function, prefix)
		}
		walkScopes(function.Body, known, func(call *ast.CallExpr, selector *ast.SelectorExpr) {
			kind, ok := metricTypes[selector.Sel.Name]
			if !ok {
				return
			}
			name := literal(call.Args)
			if name == "" {
				unresolved = append(unresolved, files.Position(call.Pos()).String())
				return
			}
			scope := selector.X
			if selector.Sel.Name == "NewCodeCounters" {
				scope = call.Args[0]
			}
			found = append(found, metric{"carobkeel_" + known.prefix(scope) + name, kind, filepath.Dir(path)})
		})
	}
	return found, unresolved
}

// groupConstructors maps each function that is passed to NewByOwner to the
// prefix of the scope passed with it.
func groupConstructors(file *ast.File) map[string]string {
	found := make(map[string]string)
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		known := scopes{}
		walkScopes(function.Body, known, func(call *ast.CallExpr, selector *ast.SelectorExpr) {
			if selector.Sel.Name != "NewByOwner" || len(call.Args) != 3 {
				return
			}
			if constructor, ok := call.Args[2].(*ast.Ident); ok {
				found[constructor.Name] = known.prefix(call.Args[0])
			}
		})
	}
	return found
}

func scopesOfParameters(function *ast.FuncDecl, prefix string) scopes {
	known := scopes{}
	for _, field := range function.Type.Params.List {
		for _, name := range field.Names {
			known[name.Name] = prefix
		}
	}
	return known
}

// walkScopes visits the calls of a body in order and records in known the scope
// assigned to each variable.
func walkScopes(body *ast.BlockStmt, known scopes, visit func(*ast.CallExpr, *ast.SelectorExpr)) {
	ast.Inspect(body, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.AssignStmt:
			for i, left := range n.Lhs {
				name, ok := left.(*ast.Ident)
				if ok && i < len(n.Rhs) {
					known[name.Name] = known.prefix(n.Rhs[i])
				}
			}
		case *ast.CallExpr:
			fun := n.Fun
			if generic, ok := fun.(*ast.IndexExpr); ok {
				fun = generic.X
			}
			if selector, ok := fun.(*ast.SelectorExpr); ok {
				visit(n, selector)
			}
		}
		return true
	})
}

func metricsInCode(t *testing.T) (rows, unresolved []string) {
	t.Helper()
	seen := make(map[string]bool)
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != "metrics.go" {
			return err
		}
		found, inFile := metricsOf(t, path)
		unresolved = append(unresolved, inFile...)
		for _, m := range found {
			if row := m.row(); !seen[row] {
				seen[row] = true
				rows = append(rows, row)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return rows, unresolved
}

var metricRow = regexp.MustCompile("(?m)^\\| `carobkeel_[a-z0-9_]+` \\| [a-z]+ \\| [^|]+ \\| ")

func TestMetricsPageListsExactlyTheMetricsInTheCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	inCode, unresolved := metricsInCode(t)
	g.Expect(unresolved).To(BeEmpty(), "the name of a metric has to be a literal")
	onPage := metricRow.FindAllString(string(page), -1)
	g.Expect(onPage).To(ConsistOf(inCode), "rows of docs/METRICS.md")
}

func TestMetricsAreFoundThroughScopesAndGroups(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "metrics.go")
	source := `package sample
func NewMetrics(root tally.Scope) {
	scope := root.SubScope("entry")
	scope.Counter("requests")
	scope.SubScope("queue").Tagged(map[string]string{"class": "x"}).Gauge("length")
	telemetry.NewCodeCounters(scope, "results")
	telemetry.NewByOwner(scope, 0, newGroup)
	telemetry.NewByOwner[group](scope.SubScope("wait"), 0, newWait)
	scope.Counter(name)
}
func newGroup(scope tally.Scope) group { return group{scope.Histogram("latency", b)} }
func newWait(s tally.Scope) group { return group{s.Timer("delay")} }
`
	g.Expect(os.WriteFile(path, []byte(source), 0o600)).To(Succeed())
	found, unresolved := metricsOf(t, path)
	var names []string
	for _, m := range found {
		names = append(names, m.kind+" "+strings.TrimPrefix(m.name, "carobkeel_"))
	}
	g.Expect(names).To(Equal([]string{
		"counter entry_requests", "gauge entry_queue_length", "counter entry_results",
		"histogram entry_latency", "timer entry_wait_delay",
	}))
	g.Expect(unresolved).To(HaveLen(1))
}
