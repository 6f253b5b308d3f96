package sizing

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dotterelhead.example/dotterelhead/claims"
	"dotterelhead.example/dotterelhead/peer"
	"dotterelhead.example/dotterelhead/standin"
	"dotterelhead.example/dotterelhead/standin/httpclient"
)

// callerLines are the fitted lines of the costs of requests. keyWrites are the
// store writes for idempotency keys.
type callerLines struct{ cpu, bytes, keyWrites line }

// fitCallers measures requests that three entry VMs receive in turn and forward
// to stand-in backend servers over real connections.
func (m *measurement) fitCallers(ctx context.Context) (callerLines, error) {
	var l callerLines
	r, err := startRegion(ctx, size{entries: 3, workers: 12, pools: 2, teams: 2, backends: true})
	if err != nil {
		return l, err
	}
	defer r.close()
	r.settle(m.quiet())
	w := r.measure(m.window())
	idleBytes, idleCPU := w.peerBytes()/w.seconds, w.cpu.Seconds()/w.seconds
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	// Opens the connections before the measurement.
	if _, err := r.send(ctx, client, 200, 16, 0, false); err != nil {
		return l, err
	}
	var cpu, bytes, writes series
	requests, keys, rate := []int{500, 1000, 2000, 4000}, []int{50, 100, 200, 400}, 200.0
	if m.quick {
		requests, keys, rate = []int{100, 200, 300, 400}, []int{20, 40, 60, 80}, 200
	}
	for _, n := range requests {
		var cpuOf, bytesOf [2]float64
		for i := range 2 {
			w, err := r.send(ctx, client, n, 16, 0, false)
			if err != nil {
				return l, err
			}
			cpuOf[i] = (w.cpu.Seconds() - idleCPU*w.seconds) * 1e6
			bytesOf[i] = w.peerBytes() - idleBytes*w.seconds
		}
		cpu.add(float64(n), cpuOf[0], cpuOf[1])
		bytes.add(float64(n), bytesOf[0], bytesOf[1])
	}
	for _, n := range keys {
		var writesOf [2]float64
		for i := range 2 {
			w, err := r.send(ctx, client, n, 16, rate, true)
			if err != nil {
				return l, err
			}
			writesOf[i] = float64(w.counts["put"])
		}
		writes.add(float64(n), writesOf[0], writesOf[1])
	}
	if !m.quick {
		l.cpu = m.addFit("processor time of requests, with caller and backend server", "us", "request", cpu)
	}
	l.bytes = m.addFit("bytes between entry VMs for requests, 2 of 3 dispatched elsewhere", "B", "request", bytes)
	l.keyWrites = m.addFit(fmt.Sprintf("store writes for keys at %.0f keys/s", rate), "writes", "key", writes)
	return l, nil
}

// finishWriteWait is longer than the second for which the owner of a shard
// collects finished attempts before it writes their state to the store.
const finishWriteWait = 1300 * time.Millisecond

var nextKey atomic.Int64

// send sends n requests, at the given rate per second or, if it is 0, as fast as
// concurrency allows. Requests with idempotency keys are followed by a
// wait, so that the window includes the delayed writes of their final state.
func (r *region) send(ctx context.Context, client *http.Client, n, concurrency int, rate float64, keyed bool) (window, error) {
	before := r.read()
	begun := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	for i := range n {
		if rate > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		}
		group.Go(func() error { return r.request(ctx, client, i, keyed) })
	}
	err := group.Wait()
	if keyed {
		time.Sleep(finishWriteWait)
	}
	return r.read().since(before), err
}

func (r *region) request(ctx context.Context, client *http.Client, i int, keyed bool) error {
	method := http.MethodGet
	if keyed {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s/v1/services/service-%03d/item", r.callerAddresses[i%len(r.callerAddresses)], i%r.size.pools)
	q, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	if keyed {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d", nextKey.Add(1)))
	}
	response, err := client.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d: %s", response.StatusCode, body)
	}
	return err
}

// keyMemory measures the memory that the owner of all shards uses for
// finished idempotency keys.
func (m *measurement) keyMemory(ctx context.Context) (line, error) {
	var s series
	sizes := []int{4000, 8000, 16_000, 32_000}
	for _, n := range sizes {
		var used [2]float64
		for i := range 2 {
			var err error
			if used[i], err = ownerBytes(ctx, n); err != nil {
				return line{}, err
			}
		}
		s.add(float64(n), used[0], used[1])
	}
	return m.addFit("memory of a shard owner for keys of the last 24 h", "B", "key", s), nil
}

// ownerBytes returns the memory that is freed when an owner of n keys is
// released.
func ownerBytes(ctx context.Context, n int) (float64, error) {
	store := standin.NewPlatform(standin.PlatformOptions{})
	if err := store.Start(ctx); err != nil {
		return 0, err
	}
	defer store.Close()
	client := httpclient.NewClient(httpclient.ClientOptions{BaseURL: store.Addr()})
	defer client.CloseIdleConnections()
	ownerCtx, stop := context.WithCancel(ctx)
	defer stop()
	owner := claims.NewOwner(claims.OwnerOptions{
		Store: client, Region: regionName, EntryID: "entry-00", WritesPerSecond: 1e6, Burst: 1000,
		Owned: func(int) bool { return true },
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = owner.Run(ownerCtx)
	}()
	group, groupCtx := errgroup.WithContext(ownerCtx)
	group.SetLimit(400)
	for i := range n {
		group.Go(func() error { return claimKey(groupCtx, owner, i) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	time.Sleep(finishWriteWait)
	with := liveBytes()
	stop()
	<-ended
	owner = nil
	return with - liveBytes(), nil
}

func claimKey(ctx context.Context, owner *claims.Owner, i int) error {
	key := claims.KeyHash("service", fmt.Sprint("key-", i))
	fingerprint := claims.Fingerprint(http.MethodPost, "/item", nil, "")
	attempt := fmt.Sprint("attempt-", i)
	reserved, err := owner.Reserve(ctx, &peer.ReserveRequest{KeyHash: key, Fingerprint: fingerprint, Attempt: attempt, Entry: "entry-00"})
	if err != nil || reserved.State != peer.KeyState_RESERVED {
		return errors.Errorf("reserve key: state %v instead of RESERVED, error %v", reserved.GetState(), err)
	}
	claimed, err := owner.Claim(ctx, &peer.ClaimRequest{KeyHash: key, Fingerprint: fingerprint, Attempt: attempt, Entry: "entry-00"})
	if err != nil || claimed.State != peer.KeyState_CLAIMED {
		return errors.Errorf("claim key: state %v instead of CLAIMED, error %v", claimed.GetState(), err)
	}
	_, err = owner.Finish(ctx, &peer.FinishRequest{KeyHash: key, Attempt: attempt, State: peer.KeyState_FINISHED})
	return err
}
