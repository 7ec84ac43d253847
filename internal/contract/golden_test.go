package contract

import (
	"bytes"
	"flag"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the files under testdata anew")

// checkFile compares text with a file under testdata.
func checkFile(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", filepath.FromSlash(name))
	if *update {
		writeFile(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v; write it with -update", err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("%s differs (-recorded +now):\n%s", path, diff)
	}
}

// checkDirectory compares texts by file name with the whole of a directory under
// testdata, so that a file too many or too few is a difference as well.
func checkDirectory(t *testing.T, dir string, got map[string]string) {
	t.Helper()
	root := filepath.Join("testdata", dir)
	if *update {
		if err := os.RemoveAll(root); err != nil {
			t.Fatal(err)
		}
		for name, text := range got {
			writeFile(t, filepath.Join(root, name), text)
		}
	}
	recorded := filesUnder(t, root)
	if diff := cmp.Diff(recorded, slices.Sorted(maps.Keys(got))); diff != "" {
		t.Errorf("files of %s differ (-recorded +now):\n%s", root, diff)
	}
	for _, name := range recorded {
		if text, ok := got[name]; ok {
			t.Run(name, func(t *testing.T) { checkFile(t, dir+"/"+name, text) })
		}
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func filesUnder(t *testing.T, root string) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(root, path)
		names = append(names, filepath.ToSlash(name))
		return err
	})
	if err != nil {
		t.Fatalf("%v; write it with -update", err)
	}
	slices.Sort(names)
	return names
}

// readSource reads a file of the repository by its path from the root.
func readSource(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
}
