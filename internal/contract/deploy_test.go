package contract

import (
	"strings"
	"testing"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

const settingsTemplate = "deploy/settings.hujson"

// gapsFile holds a line for each gap of the template: the gap, a tab, and the
// value that the platform could put there. The gaps bear the platform's names,
// which Go code outside its adapter does not use. {{,}} in a section stands
// between its items.
const gapsFile = "internal/contract/testdata/deploy/gaps.txt"

// readGaps returns gaps and values in turn.
func readGaps(t *testing.T) []string {
	t.Helper()
	var gaps []string
	for line := range strings.Lines(string(readSource(t, gapsFile))) {
		gap, value, found := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !found {
			t.Fatalf("%s: no tab in %q", gapsFile, line)
		}
		gaps = append(gaps, gap, value)
	}
	return gaps
}

// TestDeployFiles holds the text of the files that the platform reads.
func TestDeployFiles(t *testing.T) {
	for _, name := range []string{"system.toml", "settings.hujson"} {
		t.Run(name, func(t *testing.T) {
			checkFile(t, "deploy/"+name, string(readSource(t, "deploy/"+name)))
		})
	}
}

// TestDeployKeys holds the deploy file's keys and values apart from its comments.
func TestDeployKeys(t *testing.T) {
	var section string
	var lines []string
	for line := range strings.Lines(string(readSource(t, "deploy/system.toml"))) {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "["):
			section = strings.Trim(line, "[]") + "."
		default:
			lines = append(lines, section+line)
		}
	}
	checkFile(t, "deploy/keys.txt", strings.Join(lines, "\n")+"\n")
}

// TestRenderedSettings holds what a node reads from the filled template.
func TestRenderedSettings(t *testing.T) {
	text := strings.NewReplacer(readGaps(t)...).Replace(string(readSource(t, settingsTemplate)))
	if strings.Contains(text, "{{") {
		t.Fatalf("a gap is left:\n%s", text)
	}
	parsed, err := settings.Parse("settings.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	checkFile(t, "deploy/rendered.json", indented(t, parsed)+"\n")
}

// TestSecondsWithFractions guards against settings that a fraction of a second turns into others: 7.5 s
// were written as 7.5000 ms.
func TestSecondsWithFractions(t *testing.T) {
	gaps := readGaps(t)
	for i := 0; i < len(gaps); i += 2 {
		switch gaps[i] {
		case "{{bounds.gracePeriodS}}", "{{platform.historyRetentionS}}", "{{bounds.retryWindowS}}":
			gaps[i+1] = "7.5"
		}
	}
	text := strings.NewReplacer(gaps...).Replace(string(readSource(t, settingsTemplate)))
	parsed, err := settings.Parse("settings.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := parsed.Gateway
	for name, ms := range map[string]int{"graceMs": g.GraceMs, "sourceHistoryMs": g.SourceHistoryMs, "windowMs": g.Retries.WindowMs} {
		if ms != 7500 {
			t.Errorf("%s is %d", name, ms)
		}
	}
}

// TestNoOtherGaps fails when the template doesn't use one of the gaps.
func TestNoOtherGaps(t *testing.T) {
	template := string(readSource(t, settingsTemplate))
	gaps := readGaps(t)
	for i := 0; i < len(gaps); i += 2 {
		if !strings.Contains(template, gaps[i]) {
			t.Errorf("the template has no %s", gaps[i])
		}
	}
}
