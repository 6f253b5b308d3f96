// Package jsonfile finds the positions of the values in a JSON file, and the fields that the
// struct into which the file is decoded does not have.
package jsonfile

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/findings"
)

// Index holds the positions of the values of a file that a struct has fields for. Columns
// count bytes.
type Index struct {
	// Unknown has the first place of each field that the struct does not have, Repeated each
	// place where an object has a field again.
	Unknown, Repeated findings.List

	file    string
	text    []byte
	lines   []int
	offsets map[string]int
	// decoder is at the token to read, unknown has the fields in Unknown and the ignored ones, and err is the first
	// error of the decoder.
	decoder *json.Decoder
	unknown map[string]bool
	err     error
}

// New returns an index that knows no values yet.
func New(file string, text []byte) *Index {
	x := &Index{
		file: file, text: text, lines: []int{0}, offsets: map[string]int{},
		decoder: json.NewDecoder(bytes.NewReader(text)), unknown: map[string]bool{},
	}
	for i, b := range text {
		if b == '\n' {
			x.lines = append(x.lines, i+1)
		}
	}
	return x
}

// Position returns the position of an offset, which it limits to the file.
func (x *Index) Position(offset int64) findings.Position {
	at := int(min(max(offset, 0), int64(len(x.text))))
	line := sort.SearchInts(x.lines, at+1)
	return findings.Position{File: x.file, Line: line, Column: at - x.lines[line-1] + 1}
}

// At returns the position of a path, such as services[0].name with the names of the struct's
// tags. If the file does not contain the path, it is that of the innermost enclosing value.
func (x *Index) At(path string) findings.Position {
	for path != "" {
		if offset, ok := x.offsets[path]; ok {
			return x.Position(int64(offset))
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return findings.Position{File: x.file}
}

// Before returns the position of the last value that starts before an offset. The offset of a
// json.UnmarshalTypeError is behind the value, or behind its first byte.
func (x *Index) Before(offset int64) findings.Position {
	last := 0
	for _, start := range x.offsets {
		if int64(start) < offset {
			last = max(last, start)
		}
	}
	return x.Position(int64(last))
}

// Read reads the file once and adds the values for which a struct type has fields. The text has to be valid JSON.
// Fields in ignored, in the form rows.name, are not reported as unknown.
func (x *Index) Read(into reflect.Type, ignored []string) error {
	for _, name := range ignored {
		x.unknown[name] = true
	}
	x.value("", "", into)
	return errors.Wrapf(x.err, "index %s", x.file)
}

// next returns the offset of the next token.
func (x *Index) next() int {
	at := int(x.decoder.InputOffset())
	for at < len(x.text)-1 && strings.IndexByte(" \t\r\n,:", x.text[at]) >= 0 {
		at++
	}
	return at
}

func (x *Index) token() json.Token {
	token, err := x.decoder.Token()
	x.err = cmp.Or(x.err, err)
	return token
}

func (x *Index) skip() {
	var skipped json.RawMessage
	x.err = cmp.Or(x.err, x.decoder.Decode(&skipped))
}

// value reads a value and the values in it. General is its path without indices. Values that
// t does not describe are skipped, so that the recursion is only as deep as the type.
func (x *Index) value(path, general string, t reflect.Type) {
	start := x.next()
	x.offsets[path] = start
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	isObject := bytes.HasPrefix(x.text[start:], []byte("{")) && t.Kind() == reflect.Struct
	isArray := bytes.HasPrefix(x.text[start:], []byte("[")) && t.Kind() == reflect.Slice
	if !isObject && !isArray {
		x.skip()
		return
	}
	x.token()
	seen := map[string]bool{}
	for n := 0; x.err == nil && x.decoder.More(); n++ {
		if isArray {
			x.value(fmt.Sprintf("%s[%d]", path, n), general, t.Elem())
			continue
		}
		at := int64(x.next())
		key, _ := x.token().(string)
		name, fieldType := field(t, key)
		if seen[name] {
			x.Repeated.Add(x.Position(at), "field %q is repeated; only one of its values counts", name)
		}
		seen[name] = true
		inner := strings.TrimPrefix(general+"."+name, ".")
		if fieldType != nil {
			x.value(strings.TrimPrefix(path+"."+name, "."), inner, fieldType)
			continue
		}
		// A field that all entries of a list have is one finding, not thousands.
		if !x.unknown[inner] {
			x.Unknown.Add(x.Position(at), "unknown field %q", inner)
		}
		x.unknown[inner] = true
		x.skip()
	}
	x.token()
}

// field returns the tag and type of the field that encoding/json decodes a key into, which
// ignores upper and lower case. It returns the key and nil if there is none.
func field(t reflect.Type, key string) (string, reflect.Type) {
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag != "" && strings.EqualFold(tag, key) {
			return tag, t.Field(i).Type
		}
	}
	return key, nil
}
