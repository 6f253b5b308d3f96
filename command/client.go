package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/operator"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds the size of a response. The largest is a page of
	// the history, with the texts of at most 100 notes of at most 960 KiB each.
	// A configuration has at most 1 MB.
	maxResponseBytes = 128 << 20
)

// client sends requests to the operator listeners of entry VMs, one after the
// other until one gives a conclusive response, which is a response
// of an entry VM with a status other than 5xx and 429.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

// newClient returns a client. The timeout bounds each call to one entry VM.
func newClient(addresses []string, tokenFile, caFile string, timeout time.Duration) (*client, error) {
	c := &client{}
	scheme := "http://"
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "--ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--ca %s holds no PEM certificate", caFile)
		}
		scheme = "https://"
	}
	if tokenFile != "" {
		token, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "--token-file")
		}
		c.token = strings.TrimSpace(string(token))
	}
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = scheme + address
		}
		u, err := url.Parse(address)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, errors.Errorf("--operator %s is neither host:port nor an http or https URL", address)
		}
		c.addresses = append(c.addresses, strings.TrimSuffix(address, "/"))
	}
	c.http = &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			Proxy:           http.ProxyFromEnvironment,
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig: config,
		},
		// Following a redirect could send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// problemError is an error response in the format of operator.Problem. Unless its
// status is 5xx or 429, another entry VM would give the same response.
type problemError struct {
	operator.Problem
}

func (e problemError) Error() string {
	message := fmt.Sprintf("%s (status %d)", e.Title, e.Status)
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	return message
}

// inconclusiveError reports that no entry VM gave a conclusive response. Some may
// have been reached.
type inconclusiveError struct {
	failures []string
	// mayHaveTakenEffect reports whether a request may have had an effect
	// although it failed.
	mayHaveTakenEffect bool
}

func (e *inconclusiveError) Error() string { return strings.Join(e.failures, "\n") }

// addFailure records the failure of the call to one entry VM. The request had no
// effect if the connection could not be opened or if the entry VM reports that it
// could not reach the store.
func (e *inconclusiveError) addFailure(address string, err error) {
	e.failures = append(e.failures, address+": "+err.Error())
	var network *net.OpError
	var problem problemError
	notSent := errors.As(err, &network) && network.Op == "dial"
	if !notSent && !(errors.As(err, &problem) && problem.NothingChanged()) {
		e.mayHaveTakenEffect = true
	}
}

// call sends the request to the entry VMs in turn and decodes the first
// conclusive response into result. Responses with status 5xx and 429 are not
// conclusive. All requests of the operator API are idempotent; a publish is so
// because of its publish identifier.
func (c *client) call(ctx context.Context, method, path string, body []byte, result any) error {
	failures := &inconclusiveError{}
	for _, address := range c.addresses {
		err := c.callOne(ctx, method, address+path, body, result)
		var problem problemError
		if err == nil || errors.As(err, &problem) && problem.Status < 500 && problem.Status != http.StatusTooManyRequests {
			return err
		}
		failures.addFailure(address, err)
		if ctx.Err() != nil {
			break
		}
	}
	return failures
}

func (c *client) callOne(ctx context.Context, method, address string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/toml")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(content, result), "decode response")
	}
	problem := problemError{}
	if err := json.Unmarshal(content, &problem.Problem); err != nil || problem.Title == "" {
		// The server that responded is not an entry VM.
		return errors.Errorf("unexpected response %s", response.Status)
	}
	problem.Status = response.StatusCode
	return problem
}
