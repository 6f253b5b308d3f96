package standin

import (
	"context"
	"errors"
	"testing"
	"time"

	"dotterelhead.example/dotterelhead/platform"
)

func startPlatform(t *testing.T, o PlatformOptions) (*Platform, *platform.Client) {
	t.Helper()
	p := NewPlatform(o)
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	c := platform.NewClient(platform.ClientOptions{BaseURL: p.Addr(), Entry: "entry-1", Timeout: time.Second})
	t.Cleanup(func() {
		c.CloseIdleConnections()
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, c
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("error %v, want %v", got, want)
	}
}

// Guards against writes that ignore the expected version and against keys that
// are altered on their way through the URL.
func TestCompareAndSwap(t *testing.T) {
	_, c := startPlatform(t, PlatformOptions{})
	ctx := t.Context()
	for _, key := range []string{"notes/current", "claims/eu/03/0000000001", "a//b", ".", "odd key %2F?&ü"} {
		_, err := c.Get(ctx, key)
		wantErr(t, err, platform.ErrNotFound)
		v1, err := c.Put(ctx, key, []byte("one"), 0, "")
		wantErr(t, err, nil)
		_, err = c.Put(ctx, key, []byte("two"), 0, "")
		wantErr(t, err, platform.ErrConflict)
		v2, err := c.Put(ctx, key, []byte("two"), v1, "")
		wantErr(t, err, nil)
		kv, err := c.Get(ctx, key)
		wantErr(t, err, nil)
		if kv.Key != key || kv.Version != v2 || v2 <= v1 || string(kv.Value) != "two" {
			t.Fatalf("got %+v after versions %d and %d", kv, v1, v2)
		}
		wantErr(t, c.Delete(ctx, key, v1), platform.ErrConflict)
		wantErr(t, c.Delete(ctx, key, v2), nil)
		wantErr(t, c.Delete(ctx, key, v2), platform.ErrNotFound)
	}
}
