package catalogue_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/wardridge/wardridge/internal/catalogue"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

var update = flag.Bool("update", false, "write the pages")

func TestPagesAreUpToDate(t *testing.T) {
	for _, p := range catalogue.Pages() {
		f := filepath.Join("../../docs", p.File)
		if *update {
			if err := os.WriteFile(f, []byte(p.Text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != p.Text {
			t.Errorf("%s: got a text that differs from the generated one, run with -update", f)
		}
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	seen := map[any]bool{}
	checkUnique := func(v any) {
		if seen[v] {
			t.Errorf("%v: got twice, want once", v)
		}
		seen[v] = true
	}
	for _, k := range event.Catalogue {
		checkUnique(k.ID)
		checkUnique("event " + k.Name)
	}
	for _, k := range fault.Catalogue {
		checkUnique(k.Code)
		checkUnique("fault " + k.Type)
	}
	for _, k := range metric.Catalogue {
		checkUnique(k.Name)
	}
}
