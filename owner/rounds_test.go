package owner

import (
	"context"
	"io"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// A crash of a worker and a network cut looked the same in the log.
func TestFailureReasonTellsACrashFromACut(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{syscall.ECONNREFUSED, "connection_refused"},
		{syscall.ECONNRESET, "connection_closed"},
		{io.EOF, "connection_closed"},
		{context.DeadlineExceeded, "no_answer"},
		{ErrNotExecuted, "call_rejected"},
		{io.ErrShortBuffer, "call_failed"},
	} {
		if got := failureReason(errors.Wrap(c.err, "hold")); got != c.want {
			t.Errorf("reason of %v is %q, want %q", c.err, got, c.want)
		}
	}
}
