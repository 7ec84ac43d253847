package partialjson

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Reader reads the members of an object and the elements of their lists, one after the other.
type Reader struct {
	text []byte
	dec  *json.Decoder
}

// ReadObject calls member for each member of the object that text is, in their order. member reads its value with
// one call of Decode, Each or Skip. It returns an error if the text is no JSON object, or one of member.
func ReadObject(text []byte, member func(r *Reader, name string) error) error {
	r := &Reader{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	begin, err := r.dec.Token()
	if err != nil {
		return err
	}
	if begin != json.Delim('{') {
		return errors.New("the document is no object")
	}
	for r.dec.More() {
		token, err := r.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := member(r, name); err != nil {
			return err
		}
	}
	if _, err := r.dec.Token(); err != nil {
		return err
	}
	if rest := bytes.TrimLeft(text[r.dec.InputOffset():], blanks); len(rest) > 0 {
		return errors.New("more follows the document")
	}
	return nil
}

// Decode decodes the next value, as the function of that name does.
func (r *Reader) Decode(v any) ([]Fault, error) {
	begin := r.dec.InputOffset()
	err := r.dec.Decode(v)
	if err == nil {
		return nil, nil
	}
	var mistyped *json.UnmarshalTypeError
	if !errors.As(err, &mistyped) {
		return nil, err
	}
	return decodeParts(r.textSince(begin), v), nil
}

// textSince returns what was read since an offset, without the punctuation before it.
func (r *Reader) textSince(begin int64) []byte {
	return bytes.TrimLeft(r.text[begin:r.dec.InputOffset()], blanks+":,")
}

// Skip passes over the next value.
func (r *Reader) Skip() error { return r.dec.Decode(new(ignored)) }

// ignored is a value that nobody reads.
type ignored struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// Each calls element for each element of the next value, which is a list or null. element reads its value with one
// call of Decode or Skip. If the value is something else, Each passes over it and returns its fault.
func (r *Reader) Each(element func(i int) error) ([]Fault, error) {
	before := r.dec.InputOffset()
	begin, err := r.dec.Token()
	if err != nil || begin == nil {
		return nil, err
	}
	if begin != json.Delim('[') {
		if err := r.leave(begin); err != nil {
			return nil, err
		}
		return []Fault{{Reason: mismatch(r.textSince(before), "a list")}}, nil
	}
	for i := 0; r.dec.More(); i++ {
		if err := element(i); err != nil {
			return nil, err
		}
	}
	_, err = r.dec.Token()
	return nil, err
}

// leave reads on to the end of the value that begins with a token.
func (r *Reader) leave(begin json.Token) error {
	if begin != json.Delim('{') {
		return nil
	}
	for r.dec.More() {
		if _, err := r.dec.Token(); err != nil {
			return err
		}
		if err := r.Skip(); err != nil {
			return err
		}
	}
	_, err := r.dec.Token()
	return err
}
