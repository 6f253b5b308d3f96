package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

type storeInput struct {
	op       string
	key      string
	value    string
	expected int64
}

type storeOutput struct {
	version int64
	value   string
	err     error
}

// storeState is the state of one key. Version 0 means absent, and -1 a version
// that no response has reported yet.
type storeState struct {
	version int64
	value   string
}

// nextStoreStates returns the possible states after one operation. An operation
// with an unknown outcome takes effect before it returns, or not at all.
func nextStoreStates(s storeState, in storeInput, out storeOutput) []interface{} {
	allow := func(ok bool, next storeState) []interface{} {
		if !ok {
			return nil
		}
		return []interface{}{next}
	}
	matches := s.version == in.expected
	switch {
	case in.op == "get" && errors.Is(out.err, infrastructure.ErrNotFound):
		return allow(s.version == 0, s)
	case in.op == "get":
		known := s.version == out.version || s.version == -1
		return allow(known && s.value == out.value, storeState{out.version, out.value})
	case errors.Is(out.err, infrastructure.ErrOutcomeUnknown):
		next := []interface{}{s}
		if matches && in.op == "put" {
			next = append(next, storeState{-1, in.value})
		}
		if matches && in.op == "delete" {
			next = append(next, storeState{})
		}
		return next
	case errors.Is(out.err, infrastructure.ErrConflict):
		return allow(!matches && (in.op == "put" || s.version != 0), s)
	case errors.Is(out.err, infrastructure.ErrNotFound):
		return allow(s.version == 0, s)
	case in.op == "put":
		return allow(matches, storeState{out.version, in.value})
	}
	return allow(matches, storeState{})
}

var storeModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(storeInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []interface{} { return []interface{}{storeState{}} },
	Step: func(state, input, output interface{}) []interface{} {
		return nextStoreStates(state.(storeState), input.(storeInput), output.(storeOutput))
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

// Guards against a stand-in store whose compare-and-swap is not linearizable,
// which would hide faults in the code that relies on it.
func TestStoreHistory(t *testing.T) {
	p, _ := startPlatform(t, PlatformOptions{Faults: PlatformFaults{LoseProbability: 0.2, DropProbability: 0.1, Seed: 1}})
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for id := range 6 {
		c := httpclient.NewClient(httpclient.ClientOptions{BaseURL: p.Addr(), Timeout: 5 * time.Second})
		defer c.CloseIdleConnections()
		random := rand.New(rand.NewPCG(1, uint64(id)))
		clients.Go(func() {
			versions := map[string]int64{}
			for i := range 80 {
				in := storeInput{op: "put", key: fmt.Sprint("k", random.IntN(3)), value: fmt.Sprint(id, "/", i)}
				in.expected = versions[in.key]
				switch n := random.IntN(10); {
				case n < 4:
					in.op = "get"
				case n == 4:
					in.op = "delete"
				}
				op := porcupine.Operation{ClientId: id, Input: in, Call: time.Now().UnixNano()}
				out := runOperation(t, c, in)
				op.Return, op.Output = time.Now().UnixNano(), out
				if out.err == nil || errors.Is(out.err, infrastructure.ErrNotFound) {
					versions[in.key] = out.version
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	check := func(h []porcupine.Operation) porcupine.CheckResult {
		return porcupine.CheckOperationsTimeout(storeModel.ToModel(), h, 20*time.Second)
	}
	if result := check(history); result != porcupine.Ok {
		t.Fatalf("history of %d operations is %s", len(history), result)
	}
	// The check itself must detect a write that took effect but was reported as a
	// conflict.
	for i, op := range history {
		if in := op.Input.(storeInput); in.op == "put" && op.Output.(storeOutput).err == nil {
			history[i].Output = storeOutput{err: infrastructure.ErrConflict}
			if result := check(history); result != porcupine.Illegal {
				t.Fatalf("forged history is %s", result)
			}
			return
		}
	}
	t.Fatal("no write succeeded")
}

func runOperation(t *testing.T, c *httpclient.Client, in storeInput) storeOutput {
	var out storeOutput
	switch in.op {
	case "get":
		kv, err := c.Get(t.Context(), in.key)
		out = storeOutput{kv.Version, string(kv.Value), err}
	case "put":
		out.version, out.err = c.Put(t.Context(), in.key, []byte(in.value), in.expected, "")
	case "delete":
		out.err = c.Delete(t.Context(), in.key, in.expected)
	}
	return out
}
