package contract

import (
	"reflect"
	"strings"
	"testing"
)

// TestStateDumps holds the fields of GET /state at both kinds of node. The
// fields of their messages are found by the names they have in the schema.
func TestStateDumps(t *testing.T) {
	g := readGenerated(t, messageDir)
	for name, field := range map[string]string{"gateway": "gatewayState", "native": "stateDump"} {
		t.Run(name, func(t *testing.T) {
			fields := typeFields("", fieldType(t, messages, field), g.words)
			checkFile(t, "state/"+name+".txt", strings.Join(fields, "\n")+"\n")
		})
	}
}

// fieldType returns the type of a struct's field by its name in JSON.
func fieldType(t *testing.T, in reflect.Type, name string) reflect.Type {
	t.Helper()
	for i := range in.NumField() {
		tag, _, _ := strings.Cut(in.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return in.Field(i).Type
		}
	}
	t.Fatalf("%s has no field %s", in, name)
	return nil
}
