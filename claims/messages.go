package claims

import (
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// replyID identifies a caller that waits for a reply.
type replyID uint64

// input is a message that shard.step processes.
type input interface{ isInput() }

// attemptInput holds the fields that the messages of an attempt have in common.
type attemptInput struct {
	replyID     replyID
	key         key
	fingerprint uint64
	attempt     string
	timeout     time.Duration
}

type (
	reserveInput struct{ attemptInput }
	claimInput   struct{ attemptInput }
	awaitInput   struct{ attemptInput }
	finishInput  struct {
		replyID replyID
		key     key
		attempt string
		state   peer.KeyState
		answer  *peer.KeptAnswer
	}
	// cancelWaitInput says that a caller no longer waits for its reply.
	cancelWaitInput struct {
		replyID replyID
		key     key
	}
	// acquireInput starts a takeover.
	acquireInput struct{}
	// releaseInput gives the shard up once its pending state updates are written.
	releaseInput struct{}
	// tokenInput is a token of the rate limiter. It allows one write or deletion in
	// the store.
	tokenInput struct{}
	// tickInput carries nothing but the time that is passed to step.
	tickInput struct{}
	// resultInput is the result of the latest store call.
	resultInput struct {
		err     error
		version int64
		value   infrastructure.KeyValue
		list    []infrastructure.KeyValue
	}
)

func (reserveInput) isInput()    {}
func (claimInput) isInput()      {}
func (awaitInput) isInput()      {}
func (finishInput) isInput()     {}
func (cancelWaitInput) isInput() {}
func (acquireInput) isInput()    {}
func (releaseInput) isInput()    {}
func (tokenInput) isInput()      {}
func (tickInput) isInput()       {}
func (resultInput) isInput()     {}

// reply is the reply to a waiting caller.
type reply struct {
	id     replyID
	state  peer.KeyState
	answer *peer.KeptAnswer
}

type callKind int

const (
	callPut callKind = iota
	callGet
	callList
	callDelete
)

// storeCall is a call to make to the store. A put replaces, and a deletion removes,
// the version expected of key; with 0, a put creates the key. A list returns up to
// limit chunks after the key after. resets is the value of shard.resets when the call
// was made.
type storeCall struct {
	kind     callKind
	key      string
	value    []byte
	expected int64
	after    string
	limit    int
	resets   int64
}

// event is an occurrence to be logged; its name gets the prefix "claims_".
type event struct {
	name string
	err  error
}

// output is what the caller of shard.step has to do.
type output struct {
	replies []reply
	events  []event
	// call is to be made now. There is no further call until its result is given
	// to step.
	call *storeCall
	// wantsToken asks for a tokenInput as soon as the rate limiter allows a write.
	wantsToken bool
	// nextTick asks for a tickInput at this time; zero for none.
	nextTick time.Time
}
