package contract

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	messageDir    = "internal/message"
	messageSchema = messageDir + "/message.schema.json"
)

// messages is the type that refers to each message.
var messages = reflect.TypeFor[message.Message]()

// TestMessages holds each definition of the schema together with its type. A
// new or missing one is a file too few or too many.
func TestMessages(t *testing.T) {
	s := parseSchema(t, messageSchema)
	g := readGenerated(t, messageDir)
	checkReached(t, g, messages)
	types := structsOf(messages)
	delete(types, messages.Name())
	if diff := cmp.Diff(s.definitions(), slices.Sorted(maps.Keys(types))); diff != "" {
		t.Fatalf("definitions and types differ (-schema +types):\n%s", diff)
	}
	got := map[string]string{}
	for name, typ := range types {
		got[name+".txt"] = describe(t, s, s.object("$defs").object(name), typ, g)
	}
	checkDirectory(t, "message", got)
}
