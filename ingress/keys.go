package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"dotterelhead.example/dotterelhead/claims"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/request"
)

const (
	// finishMargin is how long after its deadline an attempt may still report
	// its end to the owner of the key. After that, the owner ends the attempt
	// by itself.
	finishMargin = 5 * time.Second
	// finishTimeout limits the call that reports the end of an attempt.
	finishTimeout = 2 * time.Second
)

// IdempotencyStage is the stage that runs a request with an idempotency key at
// most once.
type IdempotencyStage struct {
	client *claims.Client
	next   *AttemptStage
	// finishing counts the Finish calls in progress.
	finishing sync.WaitGroup
}

// NewIdempotencyStage returns the stage in front of next.
func NewIdempotencyStage(client *claims.Client, next *AttemptStage) *IdempotencyStage {
	return &IdempotencyStage{client: client, next: next}
}

// Wait waits until the ends of all attempts have been reported to the owners.
func (k *IdempotencyStage) Wait() { k.finishing.Wait() }

// Serve runs the request, or returns how the first request with its key ended.
func (k *IdempotencyStage) Serve(ctx context.Context, r *request.Request) request.Result {
	attempt := claims.Attempt{
		ID:          uuid.NewString(),
		KeyHash:     claims.KeyHash(r.Service, r.IdempotencyKey),
		Fingerprint: claims.Fingerprint(r.Method, r.Target, r.Body, r.Header.Get("Authorization")),
		Timeout:     time.Until(r.Deadline) + finishMargin,
	}
	reserved, err := k.withSpan(ctx, "key.reserve", attempt, k.client.Reserve)
	if err == nil && reserved.State == peer.KeyState_IN_PROGRESS {
		return k.await(ctx, attempt)
	}
	if err != nil {
		// The owner may have reserved the key although its reply was lost.
		k.finish(ctx, attempt, peer.KeyState_NOT_RUN, nil)
		return keyNotClaimed(err.Error())
	}
	if reserved.State != peer.KeyState_RESERVED {
		return resultOfKey(reserved)
	}
	// unclaimed is the owner's reply to a claim that it did not confirm.
	var unclaimed *claims.Result
	result := k.next.ServeClaimed(ctx, r, func(ctx context.Context) *request.Result {
		refusal, reply := k.claim(ctx, attempt)
		unclaimed = reply
		return refusal
	})
	if unclaimed == nil {
		state, kept := finishState(result)
		k.finish(ctx, attempt, state, kept)
		return result
	}
	k.finish(ctx, attempt, peer.KeyState_NOT_RUN, nil)
	if unclaimed.State == peer.KeyState_IN_PROGRESS {
		// After a change of owner, the new owner knows of an earlier attempt.
		// The slot has been released by now, so waiting does not occupy it.
		return k.await(ctx, attempt)
	}
	return result
}

// await waits for the end of an earlier attempt on the key and returns its result.
func (k *IdempotencyStage) await(ctx context.Context, attempt claims.Attempt) request.Result {
	earlier, err := k.withSpan(ctx, "key.await", attempt, k.client.Await)
	if err != nil {
		return keyInProgress(err)
	}
	return resultOfKey(earlier)
}

// withSpan makes one call to the owner of a key in its own span.
func (k *IdempotencyStage) withSpan(ctx context.Context, name string, attempt claims.Attempt, call func(context.Context, claims.Attempt) (claims.Result, error)) (claims.Result, error) {
	ctx, span := k.next.options.Tracer.Start(ctx, name)
	defer span.End()
	result, err := call(ctx, attempt)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	} else {
		span.SetAttributes(attribute.String("state", result.State.String()))
	}
	return result, err
}

// claim records with the owner that the attempt is about to be sent. Unless the
// owner confirms that, it returns the result that ends the request unsent, and
// the owner's reply.
func (k *IdempotencyStage) claim(ctx context.Context, attempt claims.Attempt) (*request.Result, *claims.Result) {
	claimed, err := k.withSpan(ctx, "key.claim", attempt, k.client.Claim)
	if err == nil && claimed.State == peer.KeyState_CLAIMED {
		return nil, nil
	}
	result := resultOfKey(claimed)
	if err != nil {
		result = keyNotClaimed(err.Error())
	}
	return &result, &claimed
}

// finish reports the end of the attempt without keeping the caller waiting.
func (k *IdempotencyStage) finish(ctx context.Context, attempt claims.Attempt, state peer.KeyState, kept *peer.KeptAnswer) {
	ctx = context.WithoutCancel(ctx)
	k.finishing.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, finishTimeout)
		defer cancel()
		ctx, span := k.next.options.Tracer.Start(ctx, "key.finish")
		defer span.End()
		// If the call fails, the owner ends the attempt later by itself, and
		// repeats of the key learn that it may have run.
		if err := k.client.Finish(ctx, attempt, state, kept); err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
	})
}

// finishState translates the result of a request into the state that is reported
// to the owner of its key, and the answer to keep.
func finishState(result request.Result) (peer.KeyState, *peer.KeptAnswer) {
	switch {
	case result.Outcome == request.NotRun:
		return peer.KeyState_NOT_RUN, nil
	case result.Outcome == request.Unknown:
		return peer.KeyState_UNKNOWN, nil
	case result.Answer == nil || result.Answer.BodyRest != nil:
		return peer.KeyState_FINISHED, nil
	}
	kept := &peer.KeptAnswer{Status: int32(result.Answer.Status), Body: result.Answer.Body}
	for name, values := range result.Answer.Header {
		for _, value := range values {
			kept.Headers = append(kept.Headers, &peer.Header{Name: name, Value: value})
		}
	}
	return peer.KeyState_ANSWERED, kept
}

// keyNotClaimed returns the result of a request that was not sent, because the
// owner did not confirm the reservation or the claim of its key. The owner may have
// recorded them nevertheless.
func keyNotClaimed(detail string) request.Result {
	return request.Refused(http.StatusServiceUnavailable, "key cannot be claimed",
		"this request was not run, because its idempotency key could not be claimed: "+detail, defaultRetryAfter)
}

// keyInProgress returns the result for a key whose earlier request has not ended.
func keyInProgress(cause error) request.Result {
	result := request.OutcomeUnknown("another request with this idempotency key is in progress: " + cause.Error())
	result.Problem.Status, result.Problem.Title = http.StatusConflict, "key in progress"
	return result
}

// resultOfKey returns the result for a caller whose key another request used
// before.
func resultOfKey(key claims.Result) request.Result {
	conflict := func(outcome request.Outcome, title, detail string) request.Result {
		return request.Result{Outcome: outcome, Problem: &request.Problem{
			Status: http.StatusConflict, Title: title, Detail: detail,
		}}
	}
	switch key.State {
	case peer.KeyState_ANSWERED:
		answer := &request.Answer{Status: int(key.Answer.Status), Header: http.Header{}, Body: key.Answer.Body}
		for _, h := range key.Answer.Headers {
			answer.Header.Add(h.Name, h.Value)
		}
		return request.Result{Outcome: request.Answered, Answer: answer}
	case peer.KeyState_FINISHED:
		return conflict(request.Answered, "key has run", "the request with this idempotency key ran and was answered; its answer is not kept any more")
	case peer.KeyState_MISMATCH:
		return request.Refused(http.StatusUnprocessableEntity, "key used before",
			"this idempotency key was used with another method, path, body or authorization", defaultRetryAfter)
	case peer.KeyState_NOT_RUN:
		return request.Refused(http.StatusServiceUnavailable, "not run", "the request with this idempotency key was not run", defaultRetryAfter)
	case peer.KeyState_STORE_UNAVAILABLE, peer.KeyState_NOT_OWNER:
		return keyNotClaimed(key.State.String())
	}
	return conflict(request.Unknown, "key may have run", "a request with this idempotency key was sent and its outcome is not known")
}
