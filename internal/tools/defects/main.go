// Command defects shows that the tests have teeth: it seeds one defect at a
// time into the source, by the go command's overlay, and runs the tests that
// must then fail. Nothing in the checkout changes.
//
//	go run ./internal/tools/defects            all defects
//	go run ./internal/tools/defects -only NAME those whose name contains NAME
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

const (
	listFile = "internal/tools/defects/defects.hujson"
	// parallel is how many defects are tried at a time: each is a build and a test run of its own.
	parallel = 4
)

// defect is one entry of the list.
type defect struct {
	// Name says what is broken.
	Name string `json:"name"`
	// File is the source file, and Old the text in it that New replaces, once.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Test holds the arguments of go test that must fail.
	Test string `json:"test"`
}

func main() {
	only := flag.String("only", "", "try the defects whose name contains this")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, "defects:", err)
		os.Exit(1)
	}
}

// run tries the defects whose name contains only, and prints a line for each.
func run(only string) error {
	list, err := read()
	if err != nil {
		return err
	}
	list = slices.DeleteFunc(list, func(d defect) bool { return !strings.Contains(d.Name, only) })
	tmp, err := os.MkdirTemp("", "defects")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(tmp) }() // what stays is in the system's temporary folder
	missed := 0
	for i, o := range tryAll(tmp, list) {
		mark := "caught"
		if !o.caught {
			mark = "MISSED"
			missed++
		}
		fmt.Printf("%s  %-62s %s\n", mark, list[i].Name, o.how)
	}
	fmt.Printf("%d of %d seeded defects caught\n", len(list)-missed, len(list))
	if missed > 0 {
		return errors.Errorf("%d defects were missed", missed)
	}
	return nil
}

// outcome says whether a test noticed a defect, and which or why not.
type outcome struct {
	caught bool
	how    string
}

// tryAll tries the defects, parallel at a time.
func tryAll(tmp string, list []defect) []outcome {
	outcomes := make([]outcome, len(list))
	free := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for i, d := range list {
		free <- struct{}{}
		running.Go(func() {
			outcomes[i] = try(filepath.Join(tmp, fmt.Sprint(i)), d)
			<-free
		})
	}
	running.Wait()
	return outcomes
}

// read returns the list of defects.
func read() ([]defect, error) {
	raw, err := os.ReadFile(listFile)
	if err != nil {
		return nil, err
	}
	if raw, err = hujson.Standardize(raw); err != nil {
		return nil, err
	}
	var list []defect
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// try seeds the defect and says whether a test failed. A defect that does not
// compile, or whose text is not there, counts as missed.
func try(dir string, d defect) outcome {
	overlay, err := seed(dir, d)
	if err != nil {
		return outcome{how: err.Error()}
	}
	args := append([]string{"test", "-overlay", overlay, "-count=1", "-timeout=120s"}, strings.Fields(d.Test)...)
	out, err := exec.Command("go", args...).CombinedOutput()
	if err == nil {
		return outcome{how: "the tests passed: " + d.Test}
	}
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		return outcome{how: "it does not compile"}
	}
	return outcome{caught: true, how: "by " + firstFailure(out)}
}

// seed writes the broken file and the overlay that puts it in the place of the
// other, and returns the overlay's name.
func seed(dir string, d defect) (string, error) {
	source, err := os.ReadFile(d.File)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(source, []byte(d.Old)); n != 1 {
		return "", errors.Errorf("%s holds the text %d times", d.File, n)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	broken := filepath.Join(dir, "broken.go")
	if err := os.WriteFile(broken, bytes.Replace(source, []byte(d.Old), []byte(d.New), 1), 0o600); err != nil {
		return "", err
	}
	original, err := filepath.Abs(d.File)
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": {original: broken}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, raw, 0o600)
}

// firstFailure names the first test that failed.
func firstFailure(out []byte) string {
	for line := range strings.Lines(string(out)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "--- FAIL: "); ok {
			return strings.Fields(rest)[0]
		}
	}
	return "a crash or a test that never ended"
}
