// Package request defines the types that the stages of request handling exchange
// between a caller and a backend server: requests, answers and outcomes.
package request

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller. Its body is read completely before it is
// queued.
type Request struct {
	ID      string
	Service string
	// Operation groups requests with similar run times.
	Operation string
	Team      string
	Method    string
	// Target is the path and query that the backend server sees.
	Target string
	Header http.Header
	Body   []byte
	// IdempotencyKey marks a request that must not run twice; empty if unset.
	IdempotencyKey string
	// DeclaredRunTime is the run time that the caller declared; 0 if it declared
	// none.
	DeclaredRunTime time.Duration
	// Urgent requests are served before the other requests of their pool.
	Urgent   bool
	Deadline time.Time
}

// Repeatable reports whether the request may be sent again after part of it has
// reached a backend server. A request with an idempotency key may not, whatever its
// method: it is sent at most once, and repeats by the caller get the outcome of the
// first attempt; see package claims.
func (r *Request) Repeatable() bool {
	if r.IdempotencyKey != "" {
		return false
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Outcome says what a caller may conclude about its request.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that a backend server answered.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	// Body holds the whole answer, or its beginning when BodyRest is set.
	Body []byte
	// BodyRest reads the remainder of the body. An error other than io.EOF means
	// that the answer was cut short. The receiver must close it.
	BodyRest io.ReadCloser
}

// Problem describes an error answer that dotterelhead itself gives, as opposed to
// one of a backend server.
type Problem struct {
	Status     int
	Title      string
	Detail     string
	RetryAfter time.Duration
}

// Result is how a request ended. Exactly one of Answer and Problem is set.
type Result struct {
	Outcome Outcome
	Answer  *Answer
	Problem *Problem
}

// Refused returns the result of a request that did not run.
func Refused(status int, title, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: NotRun, Problem: &Problem{Status: status, Title: title, Detail: detail, RetryAfter: retryAfter}}
}

// OutcomeUnknown returns the result of a request that may have run.
func OutcomeUnknown(detail string) Result {
	return Result{Outcome: Unknown, Problem: &Problem{Status: http.StatusBadGateway, Title: "outcome unknown", Detail: detail}}
}

// Stage is one handler in the chain that a request passes through.
type Stage interface {
	Serve(ctx context.Context, r *Request) Result
}
