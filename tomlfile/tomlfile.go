// Package tomlfile decodes TOML files into structs. It reports everything in a file
// that does not match the struct, each with its position.
package tomlfile

import (
	"errors"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"dotterelhead.example/dotterelhead/findings"
)

// Index holds the position of every table, key and array element of a file. Paths
// have the form pool.add[0].vms[2]. Columns count bytes.
type Index struct {
	file      string
	positions map[string]findings.Position
}

// At returns the position of a path. If the file does not contain the path, it
// returns the position of the innermost enclosing table. The empty path stands for
// the whole file.
func (x *Index) At(path string) findings.Position {
	for path != "" {
		if pos, ok := x.positions[path]; ok {
			return pos
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return findings.Position{File: x.file}
}

// Has reports whether the file contains the path.
func (x *Index) Has(path string) bool {
	_, ok := x.positions[path]
	return ok
}

// Decode decodes text into the struct that into points to. Keys must equal the toml
// tags of the fields exactly. The findings name unknown keys, duplicate keys, values
// of the wrong type and malformed input. ok reports whether the struct was filled,
// which is the case if there are no findings other than unknown keys. The caller can
// then check the values and report its findings together with these.
func Decode(file string, text []byte, into any) (x *Index, found findings.List, ok bool) {
	w := &walker{
		index:   &Index{file: file, positions: map[string]findings.Position{}},
		root:    reflect.TypeOf(into).Elem(),
		arrays:  map[string]int{},
		defined: map[string]bool{},
		lines:   lineStarts(text),
	}
	w.parser.Reset(text)
	for w.parser.NextExpression() {
		w.visitExpression(w.parser.Expression())
		if len(w.found) > findings.MaxFindings {
			// Decoding stops at this many findings, as no more are reported.
			return w.index, w.found.Limited(), false
		}
	}
	if w.parser.Error() != nil {
		// The parser's error has no position, but toml.Unmarshal reports the same
		// error with one.
		var ignored map[string]any
		w.decodeError(toml.Unmarshal(text, &ignored), w.parser.Error())
	} else if !w.failed {
		if err := toml.Unmarshal(text, into); err != nil {
			w.decodeError(err, err)
		}
	}
	w.found.Sort()
	return w.index, w.found, !w.failed
}

// walker visits the expressions of a file and compares them with a struct type.
type walker struct {
	parser unstable.Parser
	index  *Index
	root   reflect.Type
	// arrays counts the elements of each array of tables.
	arrays map[string]int
	// defined holds the paths of the tables that have their own header.
	defined map[string]bool
	lines   []int
	// table and tableType are the path and the type of the table of the last
	// header. tableType is nil if the table is unknown.
	table     string
	tableType reflect.Type
	started   bool
	found     findings.List
	// failed reports whether the file cannot be decoded into the struct.
	failed bool
}

func (w *walker) visitExpression(node *unstable.Node) {
	if !w.started {
		w.started, w.tableType = true, w.root
	}
	switch node.Kind {
	case unstable.Table, unstable.ArrayTable:
		w.enterHeader(node)
	case unstable.KeyValue:
		w.checkKeyValue(node, w.table, w.tableType)
	}
}

// enterHeader makes the table of a [table] or [[table]] line the current table.
func (w *walker) enterHeader(node *unstable.Node) {
	path, typ := "", w.root
	it := node.Key()
	for typ != nil && it.Next() {
		path, typ = w.enterHeaderKey(node.Kind, it.Node(), it.IsLast(), path, typ)
	}
	w.table, w.tableType = path, typ
}

// enterHeaderKey processes one key of a header. It returns the path and the type of
// the table that the key names, or a nil type if there is no such table.
func (w *walker) enterHeaderKey(kind unstable.Kind, key *unstable.Node, last bool, path string, typ reflect.Type) (string, reflect.Type) {
	pos := w.position(key)
	path = joinPath(path, string(key.Data))
	if typ = w.fieldType(typ, key, path); typ == nil {
		return path, nil
	}
	list := typ.Kind() == reflect.Slice
	switch element := last && kind == unstable.ArrayTable; {
	case element && !list:
		w.fail(pos, "%s is not a list; write [%s]", path, path)
		return path, nil
	case element && w.arrays[path] == 0 && w.index.Has(path):
		w.fail(pos, "%s is defined above in another form", path)
		return path, nil
	case element:
		w.arrays[path]++
	case list && (last || w.arrays[path] == 0):
		w.fail(pos, "%s is a list; write [[%s]]", path, path)
		return path, nil
	case !list && typ.Kind() != reflect.Struct:
		w.fail(pos, "%s is not a table", path)
		return path, nil
	}
	w.record(path, pos)
	if list {
		path += "[" + strconv.Itoa(w.arrays[path]-1) + "]"
		typ = deref(typ.Elem())
		w.record(path, pos)
	}
	if last && w.defined[path] {
		w.fail(pos, "table %s is defined twice", path)
	}
	if last {
		w.defined[path] = true
	}
	return path, typ
}

// record stores the position of a path unless it has one already. It reports whether
// it stored the position.
func (w *walker) record(path string, pos findings.Position) bool {
	if w.index.Has(path) {
		return false
	}
	w.index.positions[path] = pos
	return true
}

// checkKeyValue records the parts of a key, which may be dotted, and checks its value.
func (w *walker) checkKeyValue(node *unstable.Node, path string, typ reflect.Type) {
	if typ == nil {
		return
	}
	it := node.Key()
	for it.Next() {
		key := it.Node()
		pos := w.position(key)
		path = joinPath(path, string(key.Data))
		// Keys below an unknown key are not recorded. A dotted key can have
		// half a million parts, and the path of each part contains all parts
		// before it.
		if typ = w.fieldType(typ, key, path); typ == nil {
			return
		}
		if !w.record(path, pos) && it.IsLast() {
			w.fail(pos, "%s is set twice", path)
		}
	}
	w.checkValue(node.Value(), path, typ)
}

// fieldType returns the type of the field that a key sets in a table of type typ. If
// there is no such field it adds a finding and returns nil.
func (w *walker) fieldType(typ reflect.Type, key *unstable.Node, path string) reflect.Type {
	if typ.Kind() != reflect.Struct {
		w.fail(w.position(key), "%s is not a table", path[:max(strings.LastIndex(path, "."), 0)])
		return nil
	}
	for i := range typ.NumField() {
		f := typ.Field(i)
		if tag, _, _ := strings.Cut(f.Tag.Get("toml"), ","); tag == string(key.Data) && tag != "-" && tag != "" {
			return deref(f.Type)
		}
	}
	w.found.Add(w.position(key), "unknown field %s", path)
	return nil
}

// checkValue checks the type of a value and records the elements of arrays.
func (w *walker) checkValue(node *unstable.Node, path string, typ reflect.Type) {
	if node.Raw.Length > 0 {
		w.record(path, w.position(node))
	}
	if !kindMatches(node.Kind, typ) {
		w.fail(w.index.At(path), "%s must be %s, not %s", path, describeType(typ), kindNames[node.Kind])
		return
	}
	switch node.Kind {
	case unstable.Array:
		it := node.Children()
		for i := 0; it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			w.checkValue(it.Node(), path+"["+strconv.Itoa(i)+"]", deref(typ.Elem()))
			i++
		}
	case unstable.InlineTable:
		it := node.Children()
		for it.Next() {
			if it.Node().Kind == unstable.KeyValue {
				w.checkKeyValue(it.Node(), path, typ)
			}
		}
	}
}

// fail adds a finding and records that the file cannot be decoded.
func (w *walker) fail(pos findings.Position, format string, args ...any) {
	w.failed = true
	w.found.Add(pos, format, args...)
}

// decodeError adds an error of the TOML library as a finding. If err has no position,
// the message is that of fallback and the finding concerns the whole file.
func (w *walker) decodeError(err, fallback error) {
	pos := findings.Position{File: w.index.file}
	message := fallback.Error()
	var de *toml.DecodeError
	if errors.As(err, &de) {
		pos.Line, pos.Column = de.Position()
		message = de.Error()
	}
	w.fail(pos, "%s", strings.TrimPrefix(message, "toml: "))
}

func (w *walker) position(node *unstable.Node) findings.Position {
	offset := int(node.Raw.Offset)
	line := sort.SearchInts(w.lines, offset+1)
	return findings.Position{File: w.index.file, Line: line, Column: offset - w.lines[line-1] + 1}
}

// lineStarts returns the offset at which each line starts.
func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

func joinPath(path, key string) string {
	if !bareKey.MatchString(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func deref(typ reflect.Type) reflect.Type {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	return typ
}

func kindMatches(kind unstable.Kind, typ reflect.Type) bool {
	switch typ.Kind() {
	case reflect.String:
		return kind == unstable.String
	case reflect.Bool:
		return kind == unstable.Bool
	case reflect.Int, reflect.Int64:
		return kind == unstable.Integer
	case reflect.Float64:
		return kind == unstable.Float || kind == unstable.Integer
	case reflect.Slice:
		return kind == unstable.Array
	case reflect.Struct:
		return kind == unstable.InlineTable
	}
	return false
}

func describeType(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	default:
		return "a table"
	}
}

var kindNames = map[unstable.Kind]string{
	unstable.Array:         "an array",
	unstable.InlineTable:   "a table",
	unstable.String:        "a string",
	unstable.Bool:          "a boolean",
	unstable.Float:         "a float",
	unstable.Integer:       "an integer",
	unstable.LocalDate:     "a date",
	unstable.LocalTime:     "a time",
	unstable.LocalDateTime: "a date and time",
	unstable.DateTime:      "a date and time",
}
