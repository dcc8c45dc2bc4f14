package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/settings"
	"github.com/wardridge/wardridge/schema"
)

// Page is a generated page and the name of its file in docs.
type Page struct {
	File string
	Text string
}

// Pages returns every generated page.
func Pages() []Page {
	return []Page{
		{"EVENTS.md", events()},
		{"ERRORS.md", errors()},
		{"METRICS.md", metrics()},
		{"SETTINGS.md", settingsPage()},
		{"FIELDS.md", fields()},
	}
}

const generatedNote = "\nThis page is generated from the code by `go test ./internal/catalogue -update`; a test checks that it is up to date.\n\n"

func table(b *strings.Builder, head ...string) {
	row(b, head...)
	row(b, strings.Split(strings.Repeat("---,", len(head)-1)+"---", ",")...)
}

func row(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func events() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery line of the log has an event number in `event` and its name in `msg`.\n" + generatedNote)
	table(&b, "event", "name", "level", "meaning")
	for _, k := range event.Catalogue {
		row(&b, fmt.Sprint(int(k.ID)), k.Name, k.Level.String(), k.Help)
	}
	return b.String()
}

func errors() string {
	var b strings.Builder
	b.WriteString("# Errors\n\nEvery refusal is JSON with `error.type`, its number in `error.code`, whether the\nrequest was run in `error.ran` (`no`, `yes`, `unknown`), and when to retry in\n`error.retry_after_ms` and the `Retry-After` header. `no` is reported only where it is\nprovable; the column shows what is reported unless an earlier attempt may have run.\n" + generatedNote)
	table(&b, "code", "type", "HTTP status", "ran", "meaning")
	for _, k := range fault.Catalogue {
		row(&b, fmt.Sprint(int(k.Code)), k.Type, fmt.Sprint(k.Status), string(k.Ran), k.Help)
	}
	return b.String()
}

func metrics() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach entry VM exposes its `expvar` variables at `/debug/vars` of its control address.\n" + generatedNote)
	table(&b, "variable", "unit", "meaning")
	for _, k := range slices.Concat(metric.Catalogue, metric.Groups) {
		row(&b, "`"+string(k.Name)+"`", k.Unit, k.Help)
	}
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nAn entry VM reads one INI file, checked at its start; a mistake is shown with its\nline and the allowed values. `wardctl check FILE.ini` checks one without starting.\n" + generatedNote)
	for _, s := range schema.Properties(schema.SettingsFile, "Settings") {
		fmt.Fprintf(&b, "## [%s]\n\n%s\n\n", s.Name, s.Description)
		properties(&b, schema.SettingsFile, s.Ref)
	}
	return b.String()
}

// kinds lists the kinds of resources that operators declare and their schema
// definitions.
var kinds = []struct{ kind, definition string }{
	{"model", "ModelSpec"}, {"adapter", "AdapterSpec"}, {"workspace", "WorkspaceSpec"},
	{"backend-server", "BackendServerSpec"}, {"service", "ServiceSpec"}, {"failure-domain", "FailureDomainSpec"},
}

func fields() string {
	var b strings.Builder
	b.WriteString("# Fields of resources\n\nEach resource is `kind`, `name`, `spec` and, to change one that is there, the\n`version` it is changed from.\n" + generatedNote)
	for _, k := range kinds {
		fmt.Fprintf(&b, "## %s\n\n", k.kind)
		properties(&b, schema.ResourceFile, k.definition)
	}
	return b.String()
}

func properties(b *strings.Builder, file, definition string) {
	table(b, "key", "default", "allowed", "meaning")
	for _, p := range schema.Properties(file, definition) {
		d := "required"
		if p.Default != nil {
			d = fmt.Sprintf("`%v`", p.Default)
		}
		row(b, "`"+p.Name+"`", d, strings.TrimPrefix(strings.TrimPrefix(settings.DescribeAllowed(p), "allowed are "), "allowed is "), p.Description)
	}
	b.WriteString("\n")
}
