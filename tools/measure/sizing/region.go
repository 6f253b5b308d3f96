package sizing

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/daemon"
	"dotterelhead.example/dotterelhead/infrastructure"
	"dotterelhead.example/dotterelhead/settings"
	"dotterelhead.example/dotterelhead/standin"
)

const (
	regionName   = "sizing"
	readyTimeout = 40 * time.Second
	zones        = 3
)

// size counts the entry VMs, workers, pools and teams of a region.
type size struct {
	entries, workers, pools, teams int
	// backends starts a stand-in backend server for each worker.
	backends bool
}

// region is a region of entry VMs in this process. The stand-in of the platform
// is also the store. Without size.backends the workers exist only in the
// platform's list, because no requests are sent to them.
type region struct {
	size           size
	platform       *standin.Platform
	entries        []*daemon.EntryVM
	ids            []string
	platformRelays []*relay
	peerRelays     []*relay
	// callerAddresses are where the entry VMs accept requests of callers.
	callerAddresses []string
	revision        int64

	stop    context.CancelFunc
	running sync.WaitGroup
	failure atomic.Pointer[error]
}

func workerID(i int) string {
	zone := string(rune('a' + i%zones))
	return fmt.Sprintf("vm-%s-r%03d-%d", zone, i/zones/4, i/zones%4)
}

func vms(n int) []infrastructure.VM {
	list := make([]infrastructure.VM, n)
	for i := range list {
		id := workerID(i)
		list[i] = infrastructure.VM{
			ID: id, Address: fmt.Sprintf("10.%d.%d.%d:8080", i%zones, i/200, i%200+10),
			AvailabilityZone: regionName + "-" + string(rune('a'+i%zones)), Rack: id[:9],
			State: infrastructure.VMLive, BootCount: 1,
		}
	}
	return list
}

// noteOf returns a configuration note that adds the pools, services and teams
// of a size.
func noteOf(s size) []byte {
	var b strings.Builder
	b.WriteString("[note]\nname = \"configuration of a measured region\"\nbase = 0\n")
	for p := range s.pools {
		fmt.Fprintf(&b, "\n[[pool.add]]\nname = \"pool-%03d\"\nvms = [", p)
		members := 0
		for w := p; w < s.workers; w += s.pools {
			fmt.Fprintf(&b, "%q, ", workerID(w))
			members++
		}
		fmt.Fprintf(&b, "]\nminimum_vms = %d\n", min(1, members))
		fmt.Fprintf(&b, "\n[[service.add]]\nname = \"service-%03d\"\npool = \"pool-%03d\"\nmax_unavailable = 1\n", p, p)
	}
	for t := range s.teams {
		fmt.Fprintf(&b, "\n[[team.add]]\nname = \"team-%03d\"\nslot_quota = 32\n", t)
	}
	return []byte(b.String())
}

// startRegion starts a region and waits until every entry VM is ready.
func startRegion(ctx context.Context, s size) (*region, error) {
	ctx, stop := context.WithCancel(ctx)
	listed := vms(s.workers)
	if s.backends {
		listed = nil
	}
	r := &region{size: s, stop: stop, platform: standin.NewPlatform(standin.PlatformOptions{VMs: listed})}
	if err := r.platform.Start(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	if s.backends {
		for _, vm := range vms(s.workers) {
			backend := standin.NewBackend(standin.BackendOptions{
				ID: vm.ID, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, Platform: r.platform.Addr(),
			})
			if err := backend.Start(ctx); err != nil {
				r.close()
				return nil, err
			}
		}
	}
	for i := range s.entries {
		if err := r.addEntry(i); err != nil {
			r.close()
			return nil, err
		}
	}
	for _, entry := range r.entries {
		r.running.Go(func() {
			if err := entry.Run(ctx); err != nil {
				r.failure.Store(&err)
			}
		})
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.publish(ready, noteOf(s)); err != nil {
		r.close()
		return nil, err
	}
	for _, entry := range r.entries {
		for !entry.Ready() || !entry.HasWorkers() {
			if err := r.failure.Load(); err != nil || ready.Err() != nil {
				r.close()
				if err != nil {
					return nil, *err
				}
				return nil, errors.Errorf("region of size %+v was not ready in time", s)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return r, nil
}

func (r *region) addEntry(i int) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	peerRelay, err := newRelay(listen)
	if err != nil {
		return err
	}
	r.peerRelays = append(r.peerRelays, peerRelay)
	platformRelay, err := newRelay(r.platform.Addr())
	if err != nil {
		return err
	}
	r.platformRelays = append(r.platformRelays, platformRelay)
	caller, err := freeAddress()
	if err != nil {
		return err
	}
	r.callerAddresses = append(r.callerAddresses, caller)
	s := settings.Defaults()
	s.ID = fmt.Sprintf("entry-%02d", i)
	s.Region, s.AvailabilityZone = regionName, regionName+"-"+string(rune('a'+i%zones))
	s.CallerListen, s.OperatorListen = caller, "127.0.0.1:0"
	s.PeerListen, s.PeerAddress = listen, peerRelay.address()
	s.PlatformURL = "http://" + platformRelay.address()
	s.ShutdownLoadBalancerWaitSeconds = 0
	r.platform.Register(infrastructure.VM{ID: s.ID, AvailabilityZone: s.AvailabilityZone, EntryVM: true})
	entry, err := daemon.New(daemon.Options{Settings: s, Log: &log.Logger{Level: log.PanicLevel}})
	if err != nil {
		return err
	}
	r.entries, r.ids = append(r.entries, entry), append(r.ids, s.ID)
	return nil
}

var nextPort atomic.Int32

// freeAddress returns a loopback address that is currently free. Its port is
// below the system's ephemeral port range, so that no relay or connection takes
// it before the entry VM listens.
func freeAddress() (string, error) {
	for {
		port := 20_000 + nextPort.Add(1)
		if port > 32_000 {
			return "", errors.New("no free port between 20000 and 32000")
		}
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port))))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
}

// publish publishes a note. It retries until ctx ends while the store cannot be
// reached.
func (r *region) publish(ctx context.Context, text []byte) error {
	for {
		outcome, err := r.entries[0].Publish(ctx, text)
		if err == nil {
			r.revision = outcome.Revision
			return outcome.Findings.Err()
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *region) close() {
	r.stop()
	r.running.Wait()
	for _, side := range append(r.platformRelays, r.peerRelays...) {
		side.close()
	}
	r.platform.Close()
}

// settle waits until the region has started: until the store has had no write
// and no list call for the time quiet. An owner that takes over a shard of keys
// lists it. settle gives up after readyTimeout.
func (r *region) settle(quiet time.Duration) {
	busy := func() int64 {
		counts := r.platform.Counts()
		return counts["put"] + counts["list"]
	}
	last, since := busy(), time.Now()
	for begun := since; time.Since(since) < quiet && time.Since(begun) < readyTimeout; {
		time.Sleep(50 * time.Millisecond)
		if now := busy(); now != last {
			last, since = now, time.Now()
		}
	}
}

// reading holds the values of all counters at one time.
type reading struct {
	at             time.Time
	platform, peer []traffic
	counts         map[string]int64
	cpu            time.Duration
}

func (r *region) read() reading {
	out := reading{at: time.Now(), counts: r.platform.Counts(), cpu: processTime()}
	for i := range r.platformRelays {
		out.platform = append(out.platform, r.platformRelays[i].read())
		out.peer = append(out.peer, r.peerRelays[i].read())
	}
	return out
}

// window holds the differences of the counters between two readings.
type window struct {
	seconds        float64
	platform, peer []traffic
	counts         map[string]int64
	cpu            time.Duration
}

func (r *region) measure(length time.Duration) window {
	before := r.read()
	time.Sleep(length)
	return r.read().since(before)
}

func (a reading) since(before reading) window {
	w := window{seconds: a.at.Sub(before.at).Seconds(), counts: map[string]int64{}, cpu: a.cpu - before.cpu}
	for i := range a.platform {
		w.platform = append(w.platform, a.platform[i].minus(before.platform[i]))
		w.peer = append(w.peer, a.peer[i].minus(before.peer[i]))
	}
	for name, n := range a.counts {
		w.counts[name] = n - before.counts[name]
	}
	return w
}

// peerBytes returns bytes between entry VMs, each counted once.
func (w window) peerBytes() float64 {
	var sum float64
	for _, t := range w.peer {
		sum += t.total()
	}
	return sum
}

func (w window) peerCalls() float64 {
	var sum float64
	for _, t := range w.peer {
		sum += t.allCalls()
	}
	return sum
}

func (w window) platformCalls() float64 {
	var n int64
	for _, calls := range w.counts {
		n += calls
	}
	return float64(n)
}

// holder returns the index of the entry VM that renewed the control lease in
// the window, or -1.
func (w window) holder() int {
	for i, t := range w.platform {
		if t.calls["keepalive"] > 0 {
			return i
		}
	}
	return -1
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveBytes returns the memory in use after a garbage collection, including
// stacks.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
