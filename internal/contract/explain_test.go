package contract

import (
	"path/filepath"
	"regexp"
	"slices"
	"testing"
)

// recordedLog holds lines from docs/OPERATIONS.md and of runs, and invented ones
// of each kind that a node writes of a request. It is written by hand.
const recordedLog = "internal/contract/testdata/explain/input.log"

var requestField = regexp.MustCompile(`"request":"([^"]+)"`)

// TestExplain holds what the program prints for each request of the log.
func TestExplain(t *testing.T) {
	log := string(readSource(t, recordedLog))
	for _, request := range requestsIn(log) {
		t.Run(request, func(t *testing.T) {
			text := honeydyke(t, log, "explain", request)
			checkFile(t, "explain/"+request+".txt", text.out)
			object := honeydyke(t, log, "explain", request, "--json")
			checkFile(t, "explain/"+request+".json", object.out)
			if text.code != 0 || object.code != 0 {
				t.Errorf("exit codes %d and %d: %s%s", text.code, object.code, text.errs, object.errs)
			}
		})
	}
}

// TestExplainFiles holds how lines of files and of standard input are told apart.
func TestExplainFiles(t *testing.T) {
	file := filepath.ToSlash(filepath.Join("testdata", "explain", "input.log"))
	r := honeydyke(t, `{"request":"r1","time":1000,"message":"first"}`, "explain", "r1", file, "-")
	checkFile(t, "explain/files.txt", r.out)
}

// TestExplainNothing holds the end of a search that finds no line.
func TestExplainNothing(t *testing.T) {
	r := honeydyke(t, "", "explain", "absent")
	if r.code != 1 || r.out != "" {
		t.Errorf("exit code %d and output %q, want 1 and none", r.code, r.out)
	}
	checkFile(t, "explain/nothing.txt", r.errs)
}

// requestsIn returns the requests that a log names, sorted.
func requestsIn(log string) []string {
	var names []string
	for _, match := range requestField.FindAllStringSubmatch(log, -1) {
		names = append(names, match[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}
