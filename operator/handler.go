package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/note"
	"dotterelhead.example/dotterelhead/replica"
)

// Options configures the handler of the operator listener.
type Options struct {
	Store   infrastructure.Store
	Replica *replica.Replica
	Region  string
	// Publisher is created from Store and Replica when it is nil.
	Publisher *Publisher
	// Ready reports whether the entry VM accepts requests; nil means always.
	Ready func() bool
	// Status adds the entry VM's own state to GET /v1/status; may be nil.
	Status func() any
	// Metrics serves /metrics; may be nil.
	Metrics http.Handler
	// Authorize reports whether a request to /v1 or /metrics is allowed; nil
	// allows all.
	Authorize func(*http.Request) bool
	// Log receives events; nil discards them.
	Log *log.Logger
}

// Page sizes of the history. Each record costs one read from the store.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 100
)

type handler struct {
	Options
}

// NewHandler returns the handler of the operator listener.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts}
	if h.Publisher == nil {
		h.Publisher = NewPublisher(PublisherOptions{Store: opts.Store, Replica: opts.Replica})
	}
	if h.Ready == nil {
		h.Ready = func() bool { return true }
	}
	if h.Log == nil {
		h.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", h.health).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", h.ready).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/notes", h.authorized(h.publish)).Methods(http.MethodPost)
	r.HandleFunc("/v1/config", h.authorized(h.config)).Methods(http.MethodGet)
	r.HandleFunc("/v1/history", h.authorized(h.history)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", h.authorized(h.status)).Methods(http.MethodGet)
	if h.Metrics != nil {
		r.HandleFunc("/metrics", h.authorized(h.Metrics.ServeHTTP)).Methods(http.MethodGet)
	}
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, Problem{Type: problemNotFound, Title: "no such resource", Status: http.StatusNotFound})
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, Problem{Type: problemMethod, Title: "method not allowed", Status: http.StatusMethodNotAllowed})
	})
	return r
}

func (h *handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.Authorize != nil && !h.Authorize(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, Problem{Type: problemUnauthorized, Title: "operator token missing or wrong", Status: http.StatusUnauthorized})
			return
		}
		next(w, r)
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "not ready\n")
		return
	}
	io.WriteString(w, "ready\n")
}

// PublishResponse is the answer to an accepted note.
type PublishResponse struct {
	Revision int64 `json:"revision"`
	// Repeated reports that the note had been accepted before.
	Repeated bool `json:"repeated"`
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, note.MaxNoteBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			writeProblem(w, Problem{Type: problemTooLarge, Title: "the note is too large", Status: http.StatusRequestEntityTooLarge,
				Detail: "a note has at most " + strconv.Itoa(note.MaxNoteBytes) + " bytes"})
			return
		}
		writeProblem(w, Problem{Type: problemRequest, Title: "the note was not received completely", Status: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	outcome, err := h.Publisher.Publish(r.Context(), text)
	switch {
	case err != nil:
		h.Log.Warn().Str("event", "note_publish_failed").Str("note_id", note.PublishID(text)).Err(err).Msg("")
		writeProblem(w, storeProblem(err))
	case outcome.Conflict:
		h.Log.Info().Str("event", "note_conflict").Str("note_id", note.PublishID(text)).Int("findings", len(outcome.Findings)).Msg("")
		writeProblem(w, Problem{Type: problemConflict, Title: "the note conflicts with later notes", Status: http.StatusConflict,
			Findings: problemFindings(outcome.Findings)})
	case len(outcome.Findings) > 0:
		h.Log.Info().Str("event", "note_refused").Str("note_id", note.PublishID(text)).Int("findings", len(outcome.Findings)).Msg("")
		writeProblem(w, Problem{Type: problemNote, Title: "the note has errors", Status: http.StatusUnprocessableEntity,
			Findings: problemFindings(outcome.Findings)})
	default:
		h.Log.Info().Str("event", "note_accepted").Str("note_id", note.PublishID(text)).Int64("revision", outcome.Revision).
			Bool("repeated", outcome.Repeated).Msg("")
		writeJSON(w, PublishResponse{Revision: outcome.Revision, Repeated: outcome.Repeated})
	}
}

// currentConfig returns the configuration in force on this entry VM. If the
// replica does not have the document, either the store is empty or the document
// has not arrived yet, so the store is read.
func (h *handler) currentConfig(r *http.Request) (note.Config, error) {
	if doc, ok := h.Replica.Get(note.ConfigKey); ok {
		config, err := note.DecodeConfig(doc.Value)
		return config, errors.Wrapf(err, "decoding version %d of the configuration", doc.Version)
	}
	return h.Publisher.Current(r.Context())
}

// ConfigResponse is the configuration in force.
type ConfigResponse struct {
	Revision int64          `json:"revision" toml:"revision"`
	Pools    []note.Pool    `json:"pools" toml:"pools"`
	Services []note.Service `json:"services" toml:"services"`
	Waves    []note.Wave    `json:"waves" toml:"waves"`
	Teams    []note.Team    `json:"teams" toml:"teams"`
}

func (h *handler) config(w http.ResponseWriter, r *http.Request) {
	config, err := h.currentConfig(r)
	if err != nil {
		writeProblem(w, storeProblem(err))
		return
	}
	answer := ConfigResponse{
		Revision: config.Revision,
		Pools:    append([]note.Pool{}, config.Pools...),
		Services: append([]note.Service{}, config.Services...),
		Waves:    append([]note.Wave{}, config.Waves...),
		Teams:    append([]note.Team{}, config.Teams...),
	}
	for i := range answer.Pools {
		answer.Pools[i].VMs = append([]string{}, answer.Pools[i].VMs...)
	}
	writeJSON(w, answer)
}

// HistoryResponse lists accepted notes, the newest first.
type HistoryResponse struct {
	Notes []HistoryRecord `json:"notes"`
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	before, err1 := parseNumber(query.Get("before"), 0)
	limit, err2 := parseNumber(query.Get("limit"), defaultHistoryLimit)
	if err1 != nil || err2 != nil || limit < 1 || limit > maxHistoryLimit || before < 0 {
		writeProblem(w, Problem{Type: problemRequest, Title: "bad query", Status: http.StatusBadRequest,
			Detail: "before is a revision, limit is from 1 to " + strconv.Itoa(maxHistoryLimit)})
		return
	}
	notes, err := h.Publisher.History(r.Context(), before, int(limit))
	if err != nil {
		writeProblem(w, storeProblem(err))
		return
	}
	if query.Get("text") != "true" {
		for i := range notes {
			notes[i].Text = ""
		}
	}
	writeJSON(w, HistoryResponse{Notes: append([]HistoryRecord{}, notes...)})
}

func parseNumber(s string, absent int64) (int64, error) {
	if s == "" {
		return absent, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

// Types of the problems that the operator listener answers with.
const (
	problemPrefix       = "https://dotterelhead.example/problems/"
	problemNote         = problemPrefix + "note-errors"
	problemConflict     = problemPrefix + "note-conflict"
	problemTooLarge     = problemPrefix + "note-too-large"
	problemRequest      = problemPrefix + "bad-request"
	problemUnauthorized = problemPrefix + "unauthorized"
	problemNotFound     = problemPrefix + "not-found"
	problemMethod       = problemPrefix + "method-not-allowed"
	problemUnavailable  = problemPrefix + "store-unavailable"
	problemUnknown      = problemPrefix + "outcome-unknown"
)

// Problem is an error answer (RFC 9457).
type Problem struct {
	Type     string           `json:"type"`
	Title    string           `json:"title"`
	Status   int              `json:"status"`
	Detail   string           `json:"detail,omitempty"`
	Findings []ProblemFinding `json:"findings,omitempty"`
}

// NothingChanged reports that the request definitely had no effect, and failed for
// a reason that may not apply to another entry VM.
func (p Problem) NothingChanged() bool { return p.Type == problemUnavailable }

// ProblemFinding is a finding about a note; line and column are 0 when it
// concerns the whole note.
type ProblemFinding struct {
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Message  string `json:"message"`
	Conflict bool   `json:"conflict"`
}

func problemFindings(list findings.List) []ProblemFinding {
	result := make([]ProblemFinding, len(list))
	for i, f := range list {
		result[i] = ProblemFinding{Line: f.Position.Line, Column: f.Position.Column, Message: f.Message, Conflict: f.Conflict}
	}
	return result
}

// storeProblem returns the problem for an error of the store, also of a request that
// only reads. A document that cannot be decoded gets the same title as a store that
// cannot be reached; the detail names the cause.
func storeProblem(err error) Problem {
	if errors.Is(err, infrastructure.ErrOutcomeUnknown) {
		return Problem{Type: problemUnknown, Title: "the outcome is not known; repeat the publish", Status: http.StatusServiceUnavailable, Detail: err.Error()}
	}
	return Problem{Type: problemUnavailable, Title: "the store could not be reached; nothing was changed", Status: http.StatusServiceUnavailable, Detail: err.Error()}
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	json.NewEncoder(w).Encode(answer)
}
