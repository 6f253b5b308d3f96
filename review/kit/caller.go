package kit

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Caller is a requester. It tries the entry VMs in turn until one answers.
type Caller struct {
	Host    string
	Entries []*Entry
	record  *Record
	next    int
}

// NewCaller returns a requester.
func NewCaller(host string, entries []*Entry, record *Record) *Caller {
	return &Caller{Host: host, Entries: entries, record: record}
}

// Do sends a request to the next entry VM and returns the status, or zero without an
// answer, and the body.
func (c *Caller) Do(method, path string, body any) (int, []byte) {
	c.next++
	e := c.Entries[c.next%len(c.Entries)]
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+e.Callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = c.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		c.record.Printf("%s %s at %s: no answer: %v", method, path, e.Node, err)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	c.record.Printf("%s %s at %s: %d %s", method, path, e.Node, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, answer
}

// Submit hands a job in until it is accepted, or until the time is up.
func (c *Caller) Submit(path string, job any, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if status, _ := c.Do(http.MethodPost, path, job); status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

// State returns the state of a job, or an empty string if the answer is not 200.
func (c *Caller) State(path string) string {
	status, answer := c.Do(http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return ""
	}
	return body.State
}
