package contract

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// updateTakes is longer than a count takes to reach the metrics, and a line to
	// be logged, when files are written anew; not measured.
	updateTakes = 4 * time.Second
	// rightWithin is how long a text may take to become right; not measured.
	rightWithin = 15 * time.Second
)

// checkEventually compares a file under testdata with a text that may take a while
// to become right.
func checkEventually(t *testing.T, name string, read func() string, right func(want, got string) bool) {
	t.Helper()
	if *update {
		time.Sleep(updateTakes)
		checkFile(t, name, read())
		return
	}
	want, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	if err != nil {
		t.Fatalf("%v; write it with -update", err)
	}
	got := read()
	for end := time.Now().Add(rightWithin); !right(string(want), got); got = read() {
		if time.Now().After(end) {
			t.Errorf("testdata/%s does not fit (-recorded +now):\n%s", name, cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")))
			return
		}
		time.Sleep(pollInterval)
	}
}
