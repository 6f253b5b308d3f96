package claims

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"dotterelhead.example/dotterelhead/peer"
)

// answers keeps the answers of finished attempts for repeats of their keys.
//
// Invariants: the sizes of the kept answers sum up to size, which is at most
// total; no answer is larger than each; the oldest answer is evicted first.
type answers struct {
	each, total int
	keep        time.Duration
	size        int
	order       *list.List
	byKey       map[key]*list.Element
}

type keptAnswer struct {
	key     key
	attempt uint64
	answer  *peer.KeptAnswer
	size    int
	until   time.Time
}

func newAnswers(each, total int, keep time.Duration) *answers {
	return &answers{each: each, total: total, keep: keep, order: list.New(), byKey: map[key]*list.Element{}}
}

// put keeps the answer and reports whether it is small enough.
func (a *answers) put(now time.Time, k key, attempt uint64, answer *peer.KeptAnswer) bool {
	a.drop(a.byKey[k])
	if answer == nil {
		return false
	}
	size := proto.Size(answer)
	if size > a.each || size > a.total {
		return false
	}
	a.byKey[k] = a.order.PushBack(&keptAnswer{key: k, attempt: attempt, answer: answer, size: size, until: now.Add(a.keep)})
	a.size += size
	a.evict(now)
	return true
}

func (a *answers) get(now time.Time, k key, attempt uint64) *peer.KeptAnswer {
	a.evict(now)
	element := a.byKey[k]
	if element == nil || element.Value.(*keptAnswer).attempt != attempt {
		return nil
	}
	return element.Value.(*keptAnswer).answer
}

func (a *answers) evict(now time.Time) {
	for front := a.order.Front(); front != nil; front = a.order.Front() {
		if a.size <= a.total && now.Before(front.Value.(*keptAnswer).until) {
			return
		}
		a.drop(front)
	}
}

func (a *answers) drop(element *list.Element) {
	if element == nil {
		return
	}
	kept := a.order.Remove(element).(*keptAnswer)
	delete(a.byKey, kept.key)
	a.size -= kept.size
}
