package contract

import (
	"strings"
	"testing"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

const settingsTemplate = "deploy/settings.hujson"

// gaps are the values that the platform could put in the template's gaps.
// {{,}} in a section stands between its items.
var gaps = []string{
	"{{zone}}", "laredo",
	"{{listenAddresses.frontend}}", "10.1.2.3:8000",
	"{{listenAddresses.controlPlane}}", "10.1.2.3:8001",
	"{{listenAddresses.ready}}", "10.1.2.3:8002",
	"{{ipAddress}}", "10.1.2.3",
	`{{#seedNodes}}"{{.}}"{{,}}{{/seedNodes}}`, `"10.1.2.4:8001","10.1.2.5:8001"`,
	"{{platform.address}}", "10.9.9.9:7000",
	"{{limits.memoryMb|json}}", "2048",
	"{{limits.cpuFraction|json}}", "0.5",
	"{{limits.linkBandwidthMbps|json}}", "1000",
	"{{limits.fileDescriptorLimit|json}}", "4096",
	"{{bounds.gracePeriodS}}", "30",
	"{{bounds.drainTimeoutMs}}", "5000",
	"{{bounds.retryBudgetRatio|json}}", "0.1",
	"{{bounds.retryWindowS}}", "10",
	"{{bounds.retryBudgetExtra|json}}", "20",
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
	text := strings.NewReplacer(gaps...).Replace(string(readSource(t, settingsTemplate)))
	if strings.Contains(text, "{{") {
		t.Fatalf("a gap is left:\n%s", text)
	}
	parsed, err := settings.Parse("settings.conf", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	checkFile(t, "deploy/rendered.json", indented(t, parsed)+"\n")
}

// TestNoOtherGaps fails when the template doesn't use one of the gaps.
func TestNoOtherGaps(t *testing.T) {
	template := string(readSource(t, settingsTemplate))
	for i := 0; i < len(gaps); i += 2 {
		if !strings.Contains(template, gaps[i]) {
			t.Errorf("the template has no %s", gaps[i])
		}
	}
}
