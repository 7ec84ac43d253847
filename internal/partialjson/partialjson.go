// Package partialjson reads JSON of which a part may have another type than its Go value. encoding/json reports the
// first such value alone; here each is left at its zero value and reported with its place, and all else is decoded
// as encoding/json does. A document is read member by member, so that it takes the memory of its parts and not of
// the whole.
package partialjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Fault is a value that could not be decoded.
type Fault struct {
	// Path leads to the value from what was decoded: names of members and indexes of elements. It is empty for
	// the whole.
	Path []string
	// Reason says what is wrong with the value.
	Reason string
}

// Pointer returns a path as a JSON pointer (RFC 6901).
func Pointer(path ...string) string {
	var b strings.Builder
	for _, step := range path {
		b.WriteByte('/')
		b.WriteString(pointerEscapes.Replace(step))
	}
	return b.String()
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// maxFaults bounds the faults of one value. A value with more is at fault as a whole.
const maxFaults = 32

// blanks are the characters that may stand between the values of a text.
const blanks = " \t\r\n"

// Decode decodes a text into the value that v points to, which has to be zero, and returns what could not be
// decoded, in the order of the text. Structs, slices and pointers are decoded part by part; a value of any other
// type, or one that implements json.Unmarshaler, is decoded whole. It returns an error only if the text is no JSON.
func Decode(text []byte, v any) ([]Fault, error) {
	err := json.Unmarshal(text, v)
	if err == nil {
		return nil, nil
	}
	if !json.Valid(text) {
		return nil, err
	}
	return decodeParts(text, v), nil
}

// decodeParts decodes a text that is valid JSON and does not fit into v.
func decodeParts(text []byte, v any) []Fault {
	target := reflect.ValueOf(v).Elem()
	target.SetZero()
	d := decoder{}
	d.decode(bytes.Trim(text, blanks), target)
	if len(d.faults) > maxFaults {
		target.SetZero()
		return []Fault{{Reason: "too many values of another type, the first is " + d.faults[0].Reason}}
	}
	return d.faults
}

// decoder collects the faults of a value.
type decoder struct {
	path   []string
	faults []Fault
}

// decode decodes a text, which is valid JSON without blanks around, into a value.
func (d *decoder) decode(text []byte, v reflect.Value) {
	if len(d.faults) > maxFaults || json.Unmarshal(text, v.Addr().Interface()) == nil {
		return
	}
	v.SetZero()
	_, decodesItself := v.Addr().Interface().(json.Unmarshaler)
	switch {
	case decodesItself:
		d.fail(text, v)
	case v.Kind() == reflect.Struct && text[0] == '{':
		d.decodeObject(text, v)
	case v.Kind() == reflect.Slice && text[0] == '[':
		d.decodeArray(text, v)
	case v.Kind() == reflect.Pointer:
		d.decodePointer(text, v)
	default:
		d.fail(text, v)
	}
}

// decodePointer leaves a pointer nil if its value has another type as a whole.
func (d *decoder) decodePointer(text []byte, v reflect.Value) {
	target := reflect.New(v.Type().Elem())
	before, depth := len(d.faults), len(d.path)
	d.decode(text, target.Elem())
	if len(d.faults) == before || len(d.faults[before].Path) > depth {
		v.Set(target)
	}
}

// decodeObject decodes the members of an object in their order, so that of two of a name the later one counts.
func (d *decoder) decodeObject(text []byte, v reflect.Value) {
	dec := json.NewDecoder(bytes.NewReader(text))
	// The text is valid, so that reading it fails nowhere.
	_, _ = dec.Token()
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var value json.RawMessage
		_ = dec.Decode(&value)
		if field, ok := fieldOf(v, name); ok {
			d.descend(name, value, field)
		}
	}
}

func (d *decoder) decodeArray(text []byte, v reflect.Value) {
	var values []json.RawMessage
	_ = json.Unmarshal(text, &values)
	v.Set(reflect.MakeSlice(v.Type(), len(values), len(values)))
	for i, value := range values {
		d.descend(strconv.Itoa(i), value, v.Index(i))
	}
}

func (d *decoder) descend(step string, text []byte, v reflect.Value) {
	d.path = append(d.path, step)
	d.decode(text, v)
	d.path = d.path[:len(d.path)-1]
}

func (d *decoder) fail(text []byte, v reflect.Value) {
	d.faults = append(d.faults, Fault{Path: append([]string(nil), d.path...), Reason: mismatch(text, nameOf(v))})
}

// fieldOf returns the field of a struct that a member of an object is decoded into, by its tag: the same spelling,
// or else the same one but for case, as encoding/json takes it.
func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	var found reflect.Value
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" {
			return v.Field(i), true
		}
		if tag != "" && strings.EqualFold(tag, name) && !found.IsValid() {
			found = v.Field(i)
		}
	}
	return found, found.IsValid()
}

// maxQuoted bounds what a reason quotes of a value, in bytes.
const maxQuoted = 32

// mismatch returns the reason of a value that is not what is due.
func mismatch(text []byte, due string) string {
	quoted := string(text)
	if len(text) > maxQuoted {
		quoted = strings.ToValidUTF8(string(text[:maxQuoted]), "") + "..."
	}
	return quoted + " where " + due + " is due"
}

// nameOf names the type of a value as JSON does.
func nameOf(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	}
	return "a number in range"
}
