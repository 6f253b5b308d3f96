// Package findings collects the errors in an input file with their positions, so
// that all of them can be reported together.
package findings

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Position is a position in a file. Line and Column start at 1; 0 means that the
// finding concerns the whole file.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column. A finding that concerns the
// whole file, such as a missing key, is reported at 1:1, so that tools that parse
// findings need no special case.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, max(p.Line, 1), max(p.Column, 1))
}

// Finding is one error with its position.
type Finding struct {
	Position Position
	Message  string
	// Conflict marks a conflict with a change that was made after the base
	// revision of the input, as opposed to an error in the input itself.
	Conflict bool
}

// String formats the finding on one line.
func (f Finding) String() string {
	return f.Position.String() + ": " + f.Message
}

// List collects findings. The zero value is ready to use.
type List []Finding

// maxMessageBytes bounds a message, because names in an invalid input can have any
// length.
const maxMessageBytes = 400

func formatMessage(format string, args []any) string {
	text := fmt.Sprintf(format, args...)
	if len(text) > maxMessageBytes {
		text = strings.ToValidUTF8(text[:maxMessageBytes], "") + "..."
	}
	return text
}

// Add appends a finding.
func (l *List) Add(pos Position, format string, args ...any) {
	*l = append(*l, Finding{Position: pos, Message: formatMessage(format, args)})
}

// MaxFindings is the maximum number of findings that are reported about one
// input.
const MaxFindings = 1000

// Limited returns the findings in sorted order. If there are more than
// MaxFindings, it keeps the first MaxFindings-1 and adds one that says that
// further findings are not shown.
func (l List) Limited() List {
	l.Sort()
	if len(l) <= MaxFindings {
		return l
	}
	rest := Finding{Position: l[MaxFindings-1].Position, Message: "this and further findings are not shown"}
	return append(slices.Clip(l[:MaxFindings-1]), rest)
}

// AddConflict appends a finding that is marked as a conflict.
func (l *List) AddConflict(pos Position, format string, args ...any) {
	*l = append(*l, Finding{Position: pos, Message: formatMessage(format, args), Conflict: true})
}

// Conflict reports whether any finding is a conflict.
func (l List) Conflict() bool {
	return slices.ContainsFunc(l, func(f Finding) bool { return f.Conflict })
}

// Sort orders the findings by file, line, column and message.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i].Position, l[j].Position
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Column != b.Column {
			return a.Column < b.Column
		}
		return l[i].Message < l[j].Message
	})
}

// Error returns all findings, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
