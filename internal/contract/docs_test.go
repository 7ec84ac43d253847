package contract

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// repositoryPath matches a path of the repository between backticks, as the
// pages write it.
var repositoryPath = regexp.MustCompile("`((?:internal|pkg|platform|cmd|examples|deploy|docs|days|tools)(?:/[A-Za-z0-9_.-]+)+)`")

// TestPathsInDocsExist holds that each path that README and docs name is there,
// so that a move shows where a page must follow.
func TestPathsInDocsExist(t *testing.T) {
	root := filepath.Join("..", "..")
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	notes, err := filepath.Glob(filepath.Join(root, "docs", "decisions", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, page := range append(append(pages, notes...), filepath.Join(root, "README.md")) {
		for _, match := range repositoryPath.FindAllStringSubmatch(readText(t, page), -1) {
			found++
			if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(match[1]))); err != nil {
				t.Errorf("%s names %s, which is not there", filepath.Base(page), match[1])
			}
		}
	}
	if found == 0 {
		t.Error("no page names a path; the pattern no longer fits the pages")
	}
}

// TestEachReasonIsInDecisions holds that the page of the rules names each reason
// that an error can carry.
func TestEachReasonIsInDecisions(t *testing.T) {
	page := readText(t, filepath.Join("..", "..", "docs", "DECISIONS.md"))
	source := readText(t, filepath.Join("..", "..", "pkg", "verdict", "verdict.go"))
	reasons := regexp.MustCompile(`Reason[A-Z]\w*\s+Reason = "([a-z-]+)"`).FindAllStringSubmatch(source, -1)
	if len(reasons) == 0 {
		t.Fatal("no reason found; the pattern no longer fits pkg/verdict")
	}
	for _, reason := range reasons {
		if !strings.Contains(page, "`"+reason[1]+"`") {
			t.Errorf("docs/DECISIONS.md does not name the reason %q", reason[1])
		}
	}
}

// readText returns the text of a file.
func readText(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
