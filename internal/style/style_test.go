package style_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sources parses every Go file of the repository that is not generated.
func sources(t *testing.T) (*token.FileSet, map[string]*ast.File) {
	t.Helper()
	s := token.NewFileSet()
	m := map[string]*ast.File{}
	err := filepath.WalkDir("../..", func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != ".." && len(d.Name()) > 2 {
			return err
		}
		if !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_gen.go") {
			return nil
		}
		f, err := parser.ParseFile(s, p, nil, parser.ParseComments)
		m[p] = f
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, m
}

func TestNoBareGo(t *testing.T) {
	s, m := sources(t)
	for _, f := range m {
		ast.Inspect(f, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: got a bare go statement, want a group", s.Position(g.Pos()))
			}
			return true
		})
	}
}

func TestEveryPackageHasADocFile(t *testing.T) {
	_, m := sources(t)
	for p := range m {
		if strings.HasSuffix(p, "_test.go") {
			continue
		}
		if _, err := os.Stat(filepath.Join(filepath.Dir(p), "doc.go")); err != nil {
			t.Errorf("%s: got no doc.go, want one", filepath.Dir(p))
		}
	}
}

// forbiddenImports lists the packages that decision packages must not import: they
// receive times and events as values.
var forbiddenImports = []string{"net", "net/http", "os", "sync", "context", "crypto/rand", "math/rand"}

func TestDecisionsAreFreeOfIO(t *testing.T) {
	s, m := sources(t)
	n := 0
	for p, f := range m {
		if !strings.Contains(p, "internal/decide/") || strings.HasSuffix(p, "_test.go") {
			continue
		}
		n++
		for _, i := range f.Imports {
			for _, x := range forbiddenImports {
				if strings.Trim(i.Path.Value, `"`) == x {
					t.Errorf("%s: got import %s", s.Position(i.Pos()), x)
				}
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if e, ok := n.(*ast.SelectorExpr); ok && usesClock(e) {
				t.Errorf("%s: got a use of the clock, want the time as a value", s.Position(e.Pos()))
			}
			return true
		})
	}
	if n == 0 {
		t.Error("got no file of a decision package, want some")
	}
}

// usesClock reports whether an expression is a function of package time that reads the
// clock or waits.
func usesClock(e *ast.SelectorExpr) bool {
	x, ok := e.X.(*ast.Ident)
	if !ok || x.Name != "time" {
		return false
	}
	switch e.Sel.Name {
	case "Now", "Since", "Until", "Sleep", "After", "NewTimer", "NewTicker", "Tick", "AfterFunc":
		return true
	}
	return false
}

// TestCataloguesAreComplete checks that each constant of a catalogue's type is listed in
// the catalogue and used by another package.
func TestCataloguesAreComplete(t *testing.T) {
	_, m := sources(t)
	for _, c := range []struct{ file, typ string }{
		{"../../internal/event/event.go", "ID"},
		{"../../internal/fault/fault.go", "Code"},
		{"../../internal/metric/metric.go", "Name"},
	} {
		f, ok := m[c.file]
		if !ok {
			t.Fatalf("%s: got no such file", c.file)
		}
		pkg := f.Name.Name
		for _, n := range constants(f, c.typ) {
			if !listed(f, n) {
				t.Errorf("%s.%s: got no entry in the catalogue", pkg, n)
			}
			if !used(m, pkg, n) {
				t.Errorf("%s.%s: got no use", pkg, n)
			}
		}
	}
}

// constants returns the names of the constants of a type.
func constants(f *ast.File, typ string) []string {
	var l []string
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		for _, s := range g.Specs {
			v := s.(*ast.ValueSpec)
			if i, ok := v.Type.(*ast.Ident); ok && i.Name == typ {
				l = append(l, v.Names[0].Name)
			}
		}
	}
	return l
}

// listed reports whether a constant is the first element of a composite literal.
func listed(f *ast.File, n string) bool {
	found := false
	ast.Inspect(f, func(x ast.Node) bool {
		if c, ok := x.(*ast.CompositeLit); ok && len(c.Elts) > 1 {
			if i, ok := c.Elts[0].(*ast.Ident); ok && i.Name == n {
				found = true
			}
		}
		return !found
	})
	return found
}

// used reports whether another package uses a constant outside tests.
func used(m map[string]*ast.File, pkg, n string) bool {
	found := false
	for p, f := range m {
		if strings.HasSuffix(p, "_test.go") {
			continue
		}
		ast.Inspect(f, func(x ast.Node) bool {
			if e, ok := x.(*ast.SelectorExpr); ok && e.Sel.Name == n {
				if i, ok := e.X.(*ast.Ident); ok && i.Name == pkg {
					found = true
				}
			}
			return !found
		})
	}
	return found
}

// testName matches the name of a test or fuzz test in a page.
var testName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)

// A proof in docs/PROOFS.md may refer to a test that was renamed or removed, and then
// nothing backs it.
func TestProofsNameTestsThatExist(t *testing.T) {
	_, m := sources(t)
	have := map[string]bool{}
	for _, f := range m {
		for _, d := range f.Decls {
			if x, ok := d.(*ast.FuncDecl); ok && testName.MatchString(x.Name.Name) {
				have[x.Name.Name] = true
			}
		}
	}
	b, err := os.ReadFile("../../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	l := testName.FindAllString(string(b), -1)
	if len(l) == 0 {
		t.Error("docs/PROOFS.md: got no test named, want some")
	}
	for _, n := range l {
		if !have[n] {
			t.Errorf("docs/PROOFS.md: got %s, want the name of a test", n)
		}
	}
}
