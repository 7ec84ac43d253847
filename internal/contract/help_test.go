package contract

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// leftOut are verbs whose help is not held: cobra's own, and experiments that
// are to go.
var leftOut = []string{
	"completion", "help",
	"experiment fleet", "experiment overhead", "experiment streams", "experiment work",
}

// childList is the list of a verb's children in its help.
var childList = regexp.MustCompile(`(?m)^Available Commands:\n((?:  .*\n)+)`)

// TestHelp holds the help text of each verb that the program's own help leads to.
func TestHelp(t *testing.T) {
	got := map[string]string{}
	var visit func(verb []string)
	visit = func(verb []string) {
		path := strings.Join(verb, " ")
		if slices.Contains(leftOut, path) {
			return
		}
		text := help(t, verb)
		got[strings.Join(append([]string{"honeydyke"}, verb...), "-")+".txt"] = recordedHelp(path, text)
		for _, child := range children(text) {
			visit(append(slices.Clone(verb), child))
		}
	}
	visit(nil)
	checkDirectory(t, "help", got)
}

func help(t *testing.T, verb []string) string {
	t.Helper()
	r := honeydyke(t, "", append(slices.Clone(verb), "--help")...)
	if r.code != 0 || r.errs != "" {
		t.Fatalf("help of %q ends with %d: %s", verb, r.code, r.errs)
	}
	return r.out
}

// recordedHelp is the help text without the children of "experiment", some of
// which are to go.
func recordedHelp(path, text string) string {
	if path == "experiment" {
		return childList.ReplaceAllString(text, "Available Commands:\n  (not held)\n")
	}
	return text
}

// children returns the names of the verbs that a help text lists.
func children(text string) []string {
	list := childList.FindStringSubmatch(text)
	if list == nil {
		return nil
	}
	var names []string
	for line := range strings.Lines(list[1]) {
		names = append(names, strings.Fields(line)[0])
	}
	return names
}
