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

// Page is one generated page.
type Page struct {
	File string
	Text string
}

// Pages gives every generated page.
func Pages() []Page {
	return []Page{
		{"EVENTS.md", events()},
		{"ERRORS.md", errors()},
		{"METRICS.md", metrics()},
		{"SETTINGS.md", settingsPage()},
		{"FIELDS.md", fields()},
	}
}

const note = "\nThis page is written from the code by `go test ./internal/catalogue -update`; a test holds them together.\n\n"

func table(b *strings.Builder, head ...string) {
	row(b, head...)
	row(b, strings.Split(strings.Repeat("---,", len(head)-1)+"---", ",")...)
}

func row(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func events() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery line of the log has an event number in `event` and its name in `msg`.\n" + note)
	table(&b, "event", "name", "level", "meaning")
	for _, k := range event.Catalogue {
		row(&b, fmt.Sprint(int(k.ID)), k.Name, k.Level.String(), k.Help)
	}
	return b.String()
}

func errors() string {
	var b strings.Builder
	b.WriteString("# Errors\n\nEvery refusal is JSON with `error.type`, its number in `error.code`, whether the\nrequest was run in `error.ran` (`no`, `yes`, `unknown`), and when to come back in\n`error.retry_after_ms` and the `Retry-After` header. `no` is said only where it is\nprovable; the column gives what is said unless an attempt before may have run.\n" + note)
	table(&b, "code", "type", "HTTP status", "ran", "meaning")
	for _, k := range fault.Catalogue {
		row(&b, fmt.Sprint(int(k.Code)), k.Type, fmt.Sprint(k.Status), string(k.Ran), k.Help)
	}
	return b.String()
}

func metrics() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach entry VM shows its `expvar` variables at `/debug/vars` of its control address.\n" + note)
	table(&b, "variable", "unit", "meaning")
	for _, k := range slices.Concat(metric.Catalogue, metric.Groups) {
		row(&b, "`"+string(k.Name)+"`", k.Unit, k.Help)
	}
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nAn entry VM reads one INI file, checked at its start; a mistake is shown with its\nline and the allowed values. `wardctl check FILE.ini` checks one without starting.\n" + note)
	for _, s := range schema.Properties(schema.SettingsFile, "Settings") {
		fmt.Fprintf(&b, "## [%s]\n\n%s\n\n", s.Name, s.Description)
		properties(&b, schema.SettingsFile, s.Ref)
	}
	return b.String()
}

// kinds are the resources that operators declare.
var kinds = []struct{ kind, definition string }{
	{"model", "ModelSpec"}, {"adapter", "AdapterSpec"}, {"workspace", "WorkspaceSpec"},
	{"backend-server", "BackendServerSpec"}, {"service", "ServiceSpec"}, {"failure-domain", "FailureDomainSpec"},
}

func fields() string {
	var b strings.Builder
	b.WriteString("# Fields of resources\n\nEach resource is `kind`, `name`, `spec` and, to change one that is there, the\n`version` it is changed from.\n" + note)
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
