package jsonfile

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"dotterelhead.example/dotterelhead/findings"
)

type document struct {
	Version int `json:"version"`
	Rows    []struct {
		Name   string `json:"name"`
		Limits *struct {
			Size int `json:"size"`
		} `json:"limits"`
		Tags []string `json:"tags"`
	} `json:"rows"`
}

// Guards against findings that point at another value than the wrong one.
func TestPositions(t *testing.T) {
	text := "{\"Version\": 3,\n \"rows\" : [ {\"name\":\"é\", \"limits\"\t:\n{\"size\" :1}},\r\n{\"tags\":[\"a\" , \"b\"],\"x\":[[1]],\"x\":2,\"ignored\":0}]}"
	x := New("f", []byte(text))
	if err := x.Read(reflect.TypeFor[document](), []string{"rows.ignored"}); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"version": "f:1:13", "rows": "f:2:11", "rows[0]": "f:2:13", "rows[0].name": "f:2:21", "rows[0].limits.size": "f:3:10",
		"rows[0].tags": "f:2:13", "rows[1].tags[1]": "f:4:16", "rows[7].name": "f:2:11", "other": "f:1:1",
	} {
		if at := x.At(path).String(); at != want {
			t.Errorf("%s is at %s, want %s", path, at, want)
		}
	}
	if at := x.Before(int64(bytes.Index([]byte(text), []byte(`"b"`)) + 3)).String(); at != "f:4:16" {
		t.Errorf("the value that ends before the offset is at %s", at)
	}
	if len(x.Unknown) != 1 || x.Unknown[0].String() != `f:4:21: unknown field "rows.x"` {
		t.Errorf("unknown fields %v", x.Unknown)
	}
	if len(x.Repeated) != 1 || x.Repeated[0].Position != (findings.Position{File: "f", Line: 4, Column: 31}) {
		t.Errorf("repeated fields %v", x.Repeated)
	}
}

// Guards against a panic and against positions outside of the values, for any valid JSON.
func FuzzPositions(f *testing.F) {
	for _, seed := range []string{
		`{"version":1,"rows":[{"name":"a","limits":{"size":2},"tags":["x",null]}]}`, `[]`, `null`, ` 3 `, `{"rows":{"name":[]}}`,
		"{\"ROWS\":[[],{}, \n{\"tags\":\"\\\"\\u0000\"}],\"rows\":null}", `{"":{"":1},"rows":[{"":2,"limits":null}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		x := New("f", text)
		valid := json.Valid(text)
		if err := x.Read(reflect.TypeFor[document](), nil); err != nil && valid {
			t.Fatal(err)
		}
		for path, offset := range x.offsets {
			x.At(path)
			var value json.RawMessage
			if err := json.NewDecoder(bytes.NewReader(text[offset:])).Decode(&value); valid && (err != nil || value[0] != text[offset]) {
				t.Errorf("no value starts at the offset of %s, %d: %v", path, offset, err)
			}
		}
	})
}
