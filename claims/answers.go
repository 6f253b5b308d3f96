package claims

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"dotterelhead.example/dotterelhead/peer"
)

// answerCache keeps the answers of finished attempts, to reply with them when a key
// is used again.
//
// An answer is evicted when its retention has passed, or earlier to make room; the
// oldest one goes first.
//
// Invariants: size is the sum of the sizes of the kept answers and at most
// maxTotalBytes; no answer is larger than maxAnswerBytes.
type answerCache struct {
	maxAnswerBytes, maxTotalBytes int
	retention                     time.Duration
	size                          int
	order                         *list.List
	byKey                         map[key]*list.Element
}

type keptAnswer struct {
	key     key
	attempt uint64
	answer  *peer.KeptAnswer
	size    int
	expires time.Time
}

func newAnswerCache(maxAnswerBytes, maxTotalBytes int, retention time.Duration) *answerCache {
	return &answerCache{maxAnswerBytes: maxAnswerBytes, maxTotalBytes: maxTotalBytes, retention: retention, order: list.New(), byKey: map[key]*list.Element{}}
}

// put replaces the kept answer of a key. It reports false, and keeps no answer, if
// the answer is nil or too large.
func (a *answerCache) put(now time.Time, k key, attempt uint64, answer *peer.KeptAnswer) bool {
	a.remove(a.byKey[k])
	if answer == nil {
		return false
	}
	size := proto.Size(answer)
	if size > a.maxAnswerBytes || size > a.maxTotalBytes {
		return false
	}
	a.byKey[k] = a.order.PushBack(&keptAnswer{key: k, attempt: attempt, answer: answer, size: size, expires: now.Add(a.retention)})
	a.size += size
	a.evict(now)
	return true
}

func (a *answerCache) get(now time.Time, k key, attempt uint64) *peer.KeptAnswer {
	a.evict(now)
	element := a.byKey[k]
	if element == nil || element.Value.(*keptAnswer).attempt != attempt {
		return nil
	}
	return element.Value.(*keptAnswer).answer
}

func (a *answerCache) evict(now time.Time) {
	for front := a.order.Front(); front != nil; front = a.order.Front() {
		if a.size <= a.maxTotalBytes && now.Before(front.Value.(*keptAnswer).expires) {
			return
		}
		a.remove(front)
	}
}

func (a *answerCache) remove(element *list.Element) {
	if element == nil {
		return
	}
	kept := a.order.Remove(element).(*keptAnswer)
	delete(a.byKey, kept.key)
	a.size -= kept.size
}
