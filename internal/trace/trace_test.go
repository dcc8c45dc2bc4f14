package trace_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/trace"
)

func TestSpansAreWrittenToFile(t *testing.T) {
	f := filepath.Join(t.TempDir(), "spans.json")
	end, err := trace.Install(context.Background(), api.TraceSettings{Exporter: api.TraceSettingsExporterFile, Target: f, SamplePermille: 1000}, "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	_, s := trace.Start(context.Background(), "dispatch")
	s.End()
	end()
	b, err := os.ReadFile(f)
	if err != nil || !strings.Contains(string(b), "dispatch") || !strings.Contains(string(b), "entry-1") {
		t.Errorf("file: got %q, %v, want the span and its process", b, err)
	}
}

func TestSpansAreExportedToOTLP(t *testing.T) {
	var got atomic.Int32
	h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" {
			got.Add(1)
		}
	}))
	defer h.Close()
	end, err := trace.Install(context.Background(), api.TraceSettings{Exporter: api.TraceSettingsExporterOtlp, Target: strings.TrimPrefix(h.URL, "http://"), SamplePermille: 1000}, "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	_, s := trace.Start(context.Background(), "dispatch")
	s.End()
	end()
	if got.Load() == 0 {
		t.Errorf("exports: got 0, want at least 1")
	}
}

func TestInstallFailsForUnwritableFile(t *testing.T) {
	if _, err := trace.Install(context.Background(), api.TraceSettings{Exporter: api.TraceSettingsExporterFile, Target: t.TempDir()}, "x"); err == nil {
		t.Errorf("got no error, want one")
	}
}
