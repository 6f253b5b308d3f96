package claims

import (
	"time"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/peer"
)

// replyID names a caller that waits for a reply.
type replyID uint64

// input is what a shard reacts to.
type input interface{ isInput() }

// attemptInput is the part that the messages of an attempt share.
type attemptInput struct {
	reply       replyID
	key         key
	fingerprint uint64
	attempt     string
	hold        time.Duration
}

type (
	reserveInput struct{ attemptInput }
	claimInput   struct{ attemptInput }
	awaitInput   struct{ attemptInput }
	finishInput  struct {
		reply   replyID
		key     key
		attempt string
		state   peer.KeyState
		answer  *peer.KeptAnswer
	}
	// forgetInput says that a caller waits no longer.
	forgetInput struct {
		reply replyID
		key   key
	}
	// acquireInput starts a takeover.
	acquireInput struct{}
	// releaseInput gives the shard up after its marks are written.
	releaseInput struct{}
	// permitInput allows one store write.
	permitInput struct{}
	// tickInput only tells the time.
	tickInput struct{}
	// resultInput is the result of the store call that was asked for.
	resultInput struct {
		err     error
		version int64
		value   infrastructure.KeyValue
		list    []infrastructure.KeyValue
	}
)

func (reserveInput) isInput() {}
func (claimInput) isInput()   {}
func (awaitInput) isInput()   {}
func (finishInput) isInput()  {}
func (forgetInput) isInput()  {}
func (acquireInput) isInput() {}
func (releaseInput) isInput() {}
func (permitInput) isInput()  {}
func (tickInput) isInput()    {}
func (resultInput) isInput()  {}

// reply is an answer to a waiting caller.
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

// storeCall is a call to make to the store.
type storeCall struct {
	kind     callKind
	key      string
	value    []byte
	expected int64
	after    string
	limit    int
	life     int64
}

// event is something worth a log line.
type event struct {
	name string
	err  error
}

// output is what a step asks for.
type output struct {
	replies []reply
	events  []event
	// call is to be made now; its result is the only way to the next call.
	call *storeCall
	// wantsPermit asks for a permitInput as soon as the rate allows a write.
	wantsPermit bool
	// wake asks for a tickInput at this time; zero for none.
	wake time.Time
}
