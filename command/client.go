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
	// maxAnswerBytes bounds an answer; a configuration has at most a megabyte
	// and a page of the history with texts has at most 100 of these.
	maxAnswerBytes = 128 << 20
)

// client calls the operator listeners of entry VMs, one after the other until
// one answers.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

// newClient returns a client. The timeout bounds the call to one entry VM.
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
		// A redirect could carry the token to another place.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// problemError is an error answer that another entry VM would give too.
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

// unreachableError reports that no entry VM gave a conclusive answer.
type unreachableError struct {
	failures []string
	// uncertain tells that a request may have had an effect.
	uncertain bool
}

func (e *unreachableError) Error() string { return strings.Join(e.failures, "\n") }

// add records the failure of one entry VM. A request that found no connection,
// or that the entry VM could not pass to the store, had no effect.
func (e *unreachableError) add(address string, err error) {
	e.failures = append(e.failures, address+": "+err.Error())
	var network *net.OpError
	var problem problemError
	notSent := errors.As(err, &network) && network.Op == "dial"
	if !notSent && !(errors.As(err, &problem) && problem.NothingChanged()) {
		e.uncertain = true
	}
}

// call sends the request to the entry VMs in turn and decodes the first
// conclusive answer. Answers with status 5xx and 429 are not conclusive. All
// requests of the operator API can be repeated, a publish because of its
// publish identifier.
func (c *client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	failures := &unreachableError{}
	for _, address := range c.addresses {
		err := c.callOne(ctx, method, address+path, body, answer)
		var problem problemError
		if err == nil || errors.As(err, &problem) && problem.Status < 500 && problem.Status != http.StatusTooManyRequests {
			return err
		}
		failures.add(address, err)
		if ctx.Err() != nil {
			break
		}
	}
	return failures
}

func (c *client) callOne(ctx context.Context, method, address string, body []byte, answer any) error {
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(content, answer), "decoding the answer")
	}
	problem := problemError{}
	if err := json.Unmarshal(content, &problem.Problem); err != nil || problem.Title == "" {
		// Something other than an entry VM has answered.
		return errors.Errorf("unexpected answer %s", response.Status)
	}
	problem.Status = response.StatusCode
	return problem
}
