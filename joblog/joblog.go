// Package joblog reads the logs of entry VMs and extracts the history of a job
// and the states of the pools.
package joblog

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a line; Read fails on longer ones.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	Time  time.Time
	Event string
	// Entry is the name of the entry VM.
	Entry  string
	Fields map[string]string
	text   string
}

// String returns the line as logged, without the text that a log collector put
// before it.
func (l Line) String() string { return l.text }

// Number returns a numeric field, or 0.
func (l Line) Number(field string) float64 {
	f, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0
	}
	return f
}

// Read returns the events of logs in the order of their times. It skips lines
// without an event, and text before the time=... pair of a line, which log
// collectors add.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}, text: text[start:]}
	rest := l.text
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		value := after
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				break
			}
			rest = strings.TrimPrefix(after[len(quoted):], " ")
			if value, err = strconv.Unquote(quoted); err != nil {
				break
			}
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		l.Fields[key] = value
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"]); err != nil {
		return Line{}, false
	}
	l.Event, l.Entry = l.Fields["event"], l.Fields["entry"]
	return l, l.Event != ""
}

// Timeline is what happened to one job.
type Timeline struct {
	Job   string
	Lines []Line
	// Accepted, FirstPlaced, LastEnded and Finished are zero if the logs do not
	// have the event.
	Accepted, FirstPlaced, LastEnded, Finished time.Time
	Outcome                                    string
	// WaitTime is the total time of items between being ready and being placed,
	// RunTime the total time of runs that ended as done, LostTime that of all
	// other runs.
	WaitTime, RunTime, LostTime time.Duration
	// RelatedLines holds the events that concern every job, such as changes of the
	// owner and outages of the store, between the job's first and last line.
	RelatedLines []Line
}

// jobIndependentEvents are the events that concern every job, not one of them.
var jobIndependentEvents = map[string]bool{
	"ownership_acquired": true, "ownership_ended": true, "takeover_settled": true, "store_reachable": true,
	"log_lines_dropped": true, "started": true, "stopping": true, "manifest_in_force": true,
}

// BuildTimeline collects the history of a job from the lines of the logs.
func BuildTimeline(lines []Line, job string) Timeline {
	t := Timeline{Job: job}
	for _, l := range lines {
		if l.Fields["job"] == job || strings.HasPrefix(l.Fields["item"], job+".") || strings.HasPrefix(l.Fields["step"], job+".") {
			t.add(l)
		}
	}
	if len(t.Lines) == 0 {
		return t
	}
	first, last := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	for _, l := range lines {
		if jobIndependentEvents[l.Event] && !l.Time.Before(first) && !l.Time.After(last) {
			t.RelatedLines = append(t.RelatedLines, l)
		}
	}
	return t
}

func (t *Timeline) add(l Line) {
	t.Lines = append(t.Lines, l)
	took := time.Duration(l.Number("took_ms")) * time.Millisecond
	switch l.Event {
	case "request_answered":
		if t.Accepted.IsZero() && l.Fields["method"] == "POST" && l.Fields["status"] == "200" {
			t.Accepted = l.Time
		}
	case "run_placed":
		if t.FirstPlaced.IsZero() {
			t.FirstPlaced = l.Time
		}
		t.WaitTime += took
	case "run_ended":
		t.LastEnded = l.Time
		if l.Fields["reason"] == "done" {
			t.RunTime += took
		} else {
			t.LostTime += took
		}
	case "run_lost":
		t.LostTime += took
	case "job_completed", "job_failed", "job_cancelled":
		t.Finished, t.Outcome = l.Time, strings.TrimPrefix(l.Event, "job_")
	}
}

// Sample is the state of a pool at one time. Used, Waiting and
// LongRunningCores are in cores: those in use, those that waiting work could
// use at once, and the part of those in use by work that runs until it is
// cancelled.
type Sample struct {
	Time               time.Time
	VMs, Used, Waiting float64
	BacklogCoreSeconds float64
	LongRunningCores   float64
}

// Pools returns the states of the pools over time.
func Pools(lines []Line) map[string][]Sample {
	pools := map[string][]Sample{}
	for _, l := range lines {
		if l.Event != "pool_state" {
			continue
		}
		name := l.Fields["service"]
		pools[name] = append(pools[name], Sample{
			Time: l.Time, VMs: l.Number("vms"), Used: l.Number("used_cores"), Waiting: l.Number("waiting_cores"),
			BacklogCoreSeconds: l.Number("backlog_core_seconds"), LongRunningCores: l.Number("lasting_cores"),
		})
	}
	for _, samples := range pools {
		slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	}
	return pools
}
