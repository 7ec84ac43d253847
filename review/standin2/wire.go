package main

import (
	_ "embed"
	"encoding/json"
)

// names holds the words of the users' pages under the names that the stand-ins use for them.
//
//go:embed wire.json
var namesText []byte

var names = readNames()

func readNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}

// w returns the word of the users' pages for a name.
func w(name string) string {
	word, known := names[name]
	if !known {
		panic("no word for " + name)
	}
	return word
}
