// Command standin2 plays the cases of the second review: it starts nodes as the deploy file does, with
// stand-ins of the platform's store, of replicas and of clients, and checks what these see.
//
// It is called with the name of a case and the file to write the record to, in the folder of the repository.
// With TROUBLE=0 in the environment it leaves the disruption out. It exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scene is what a case needs.
type scene struct {
	rec     *record
	dir     string
	trouble bool
}

// cases returns whether the rule was broken, with what was seen.
var cases = map[string]func(s *scene) (broken bool, seen string, err error){
	"appended": playAppended,
	"bodies":   playBodies,
	"diamond":  playDiamond,
	"slashes":  playSlashes,
	"storm":    playStorm,
}

// longest is how long a case may take.
const longest = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*scene) (bool, string, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
			rec.line("the case was ended")
		case <-time.After(longest):
			rec.line("the case took longer than %v", longest)
		}
		rec.close()
		_ = os.RemoveAll(dir)
		// The nodes end with this process.
		os.Exit(2)
	}()
	broken, seen, err := c(&scene{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict, seen = 2, "the case could not run", err.Error()
	case broken:
		code, verdict = 1, "the rule was broken"
	}
	rec.line("%s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	return code
}
