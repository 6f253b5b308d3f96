package telemetry

import (
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Logger writes one line of key=value pairs for each event. Callers name the
// event in the field "event" and leave the message empty:
//
//	l.Info().Str("event", "published").Int64("revision", r).Msg("")
type Logger = log.Logger

// LoggerOptions configure a Logger.
type LoggerOptions struct {
	// Level is "trace", "debug", "info", "warn" or "error"; the default is "info".
	Level string
	// Writer receives the lines; the default is standard error.
	Writer io.Writer
	// Fields are added to every line, as pairs of key and value.
	Fields []string
}

var levels = map[string]log.Level{
	"": log.InfoLevel, "trace": log.TraceLevel, "debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
}

// ParseLevel returns the level with the given name, or the info level if the name
// is unknown.
func ParseLevel(name string) log.Level {
	if level, ok := levels[name]; ok {
		return level
	}
	return log.InfoLevel
}

// ValidLevel reports whether name names a log level. The empty name stands for
// info.
func ValidLevel(name string) bool {
	_, ok := levels[name]
	return ok
}

// NewLogger returns a logger that writes logfmt.
func NewLogger(o LoggerOptions) (*Logger, error) {
	level, ok := levels[o.Level]
	if !ok {
		return nil, errors.Errorf("unknown log level %q", o.Level)
	}
	if len(o.Fields)%2 != 0 {
		return nil, errors.New("log fields must be pairs of key and value")
	}
	if o.Writer == nil {
		o.Writer = os.Stderr
	}
	l := &Logger{
		Level:        level,
		TimeLocation: time.UTC,
		Writer: &log.ConsoleWriter{
			Writer:    &lockedWriter{w: o.Writer},
			Formatter: formatLogfmt,
		},
	}
	if len(o.Fields) > 0 {
		c := log.NewContext(nil)
		for i := 0; i < len(o.Fields); i += 2 {
			c = c.Str(o.Fields[i], o.Fields[i+1])
		}
		l.Context = c.Value()
	}
	return l, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// lockedWriter serializes concurrent writes, so that lines are not interleaved.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(p)
}

// formatLogfmt renders one line as logfmt. The formatter of the log library is not
// used because it quotes every value and writes "true" and the message without a
// key, which logfmt readers that expect event=ready do not accept.
func formatLogfmt(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b strings.Builder
	appendPair(&b, "time", args.Time)
	appendPair(&b, "level", args.Level)
	for _, kv := range args.KeyValues {
		value := kv.Value
		switch kv.ValueType {
		case 't':
			value = "true"
		case 'f':
			value = "false"
		}
		appendPair(&b, kv.Key, value)
	}
	for _, extra := range [][2]string{{"message", args.Message}, {"caller", args.Caller}, {"stack", args.Stack}} {
		if extra[1] != "" {
			appendPair(&b, extra[0], extra[1])
		}
	}
	b.WriteByte('\n')
	return io.WriteString(w, b.String())
}

func appendPair(b *strings.Builder, key, value string) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(strings.Map(sanitizeKeyRune, key))
	b.WriteByte('=')
	if needsQuotes(value) {
		b.WriteString(strconv.Quote(value))
		return
	}
	b.WriteString(value)
}

// sanitizeKeyRune replaces the runes that are not allowed in a logfmt key.
func sanitizeKeyRune(r rune) rune {
	if r <= ' ' || r == '=' || r == '"' || r == utf8.RuneError {
		return '_'
	}
	return r
}

func needsQuotes(value string) bool {
	if value == "" {
		return true
	}
	return strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == '=' || r == '"' || r == '\\' || r == 0x7f || r == utf8.RuneError
	})
}
