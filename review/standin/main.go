// The program standin plays one case of the review against nodes that run as separate
// processes: it is the platform's store, the replicas and the clients of a small deployment,
// all on loopback addresses. The names of the protocol are in names.json.
//
// Usage: standin CASE FOLDER. It writes record.txt into the folder and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
)

// longest is how long a case may run.
const longest = 110 * time.Second

//go:embed names.json
var namesFile []byte

// names are the protocol's names by what they stand for.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// world is what all stand-ins of one run share.
type world struct {
	trouble bool
	began   time.Time
	folder  string
	dir     string
	store   *store
	nodes   []*node

	mu     sync.Mutex
	record *os.File
	lastID int
	// handles are the results that stage replicas made.
	handles map[string]*result
	// runs are the runs of each request, by its attempt.
	runs map[string][]string
	// statuses counts the answers that clients got.
	statuses map[int]int
	// broken lists how the rule was broken.
	broken []string
	// tooFew is set by the case if a share was larger than it may be.
	tooFew bool
}

// cannotRun ends a case that could not run.
type cannotRun struct{ why string }

// fail ends the case as one that could not run.
func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(fmt.Sprintf(format, args...))
}

// write writes a line to the record. The caller must hold the lock.
func (w *world) write(line string) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), line)
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, line)
	w.write("BROKEN " + line)
}

// newID returns a name that was not used before.
func (w *world) newID(kind string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%s%06x%04x", kind, w.began.UnixNano()&0xffffff, w.lastID)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(*world), folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), folder: folder, dir: dir, record: record,
		handles: map[string]*result{}, runs: map[string][]string{}, statuses: map[int]int{},
	}
	defer w.endNodes()
	ended := make(chan string, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				c, ok := r.(cannotRun)
				if !ok {
					panic(r)
				}
				ended <- c.why
				return
			}
			ended <- ""
		}()
		run(w)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var why string
	select {
	case why = <-ended:
	case <-signals:
		why = "ended by a signal"
	case <-time.After(longest):
		why = "the time is over"
	}
	return w.verdict(why)
}

// verdict writes the last line of the record and returns the exit code.
func (w *world) verdict(why string) int {
	code, text := exitHeld, "the rule held"
	switch {
	case why != "":
		code, text = exitCannotRun, "the case could not run: "+why
	case len(w.broken) > 0:
		code, text = exitBroken, fmt.Sprintf("the rule was broken %d times; the first: %s", len(w.broken), w.broken[0])
	}
	w.note("RESULT %d trouble=%v %s", code, w.trouble, text)
	fmt.Println(text)
	return code
}
