package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// Bounds of settings. Values outside are most likely typing errors.
const (
	minHeaderBytes     = 4 << 10
	maxHeaderBytes     = 16 << 20
	maxBodyBytes       = 1 << 30
	maxDeadlineSeconds = 86_400
	maxShutdownSeconds = 600
	maxWeight          = 1e6
)

// namePattern matches identifiers that can be used in store keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker collects the findings about one settings file.
type checker struct {
	index *tomlfile.Index
	found findings.List
}

func (c *checker) add(path, format string, args ...any) {
	c.found.Add(c.index.At(path), format, args...)
}

func (c *checker) checkSettings(s *Settings) {
	c.checkName("id", s.ID)
	c.checkName("region", s.Region)
	c.checkName("availability_zone", s.AvailabilityZone)
	c.checkAddresses(s)
	c.checkPlatformURL(s.PlatformURL)
	c.checkTLS("tls.caller", s.TLS.Caller)
	c.checkTLS("tls.operator", s.TLS.Operator)
	c.checkTLS("tls.peer", s.TLS.Peer)
	c.checkUnprotectedListeners(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.add("log_level", "log_level %q must be one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	c.checkRange("shutdown_load_balancer_wait_seconds", s.ShutdownLoadBalancerWaitSeconds, 0, maxShutdownSeconds)
	c.checkRange("retry_budget_ratio", s.RetryBudgetRatio, 0, 1)
	c.checkRange("limits.max_header_bytes", float64(s.Limits.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.checkRange("limits.max_body_bytes", float64(s.Limits.MaxBodyBytes), 0, maxBodyBytes)
	// No request can complete within a deadline shorter than 1 ms.
	c.checkRange("limits.default_deadline_seconds", s.Limits.DefaultDeadlineSeconds, 0.001, maxDeadlineSeconds)
	c.checkRange("policy.waiting_weight", s.Policy.WaitingWeight, 0, maxWeight)
	c.checkRange("policy.buffer_weight", s.Policy.BufferWeight, 0, maxWeight)
	if s.Policy.WaitingWeight == 0 && s.Policy.BufferWeight == 0 {
		c.add("policy.waiting_weight", "policy.waiting_weight and policy.buffer_weight are both 0; at least one of them must be greater than 0")
	}
	c.checkTracing(s.Tracing)
}

func (c *checker) checkName(path, value string) {
	switch {
	case value == "":
		c.add(path, "%s is missing", path)
	case !namePattern.MatchString(value):
		c.add(path, "%s %q must consist of 1 to 63 letters, digits, dots, hyphens or underscores, and start and end with a letter or digit", path, value)
	}
}

// checkRange reports a value outside low to high. The negated condition also rejects
// NaN, for which every comparison is false.
func (c *checker) checkRange(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, "%s is %v, must be from %v to %v", path, value, low, formatLimit(high))
	}
}

// formatLimit formats whole numbers without an exponent.
func formatLimit(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprint(v)
}

func (c *checker) checkAddresses(s *Settings) {
	listeners := map[string]string{}
	for _, l := range []struct{ path, value string }{
		{"caller_listen", s.CallerListen},
		{"operator_listen", s.OperatorListen},
		{"peer_listen", s.PeerListen},
	} {
		address, ok := c.checkAddress(l.path, l.value, true)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, taken := listeners[l.value]; taken {
			c.add(l.path, "%s is %s, the same as %s; each listener needs its own address", l.path, l.value, other)
		}
		listeners[l.value] = l.path
	}
	if s.PeerAddress != "" {
		c.checkAddress("peer_address", s.PeerAddress, false)
	} else if a, err := parseAddress(s.PeerListen); err == nil && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.add("peer_listen", "peer_address is missing; it is required because other entry VMs cannot reach peer_listen %s", s.PeerListen)
	}
	for i, peer := range s.SeedPeers {
		c.checkAddress(fmt.Sprintf("seed_peers[%d]", i), peer, false)
	}
}

// checkAddress checks an address of the form IP:port. For a listener, the IP address
// may be unspecified and the port 0.
func (c *checker) checkAddress(path, value string, listener bool) (netip.AddrPort, bool) {
	address, err := parseAddress(value)
	switch {
	case value == "":
		c.add(path, "%s is empty", path)
	case err != nil:
		c.add(path, "%s %q is not an IP address and port", path, value)
	case !listener && (address.Addr().IsUnspecified() || address.Port() == 0):
		c.add(path, "%s %q must have the IP address and port that others connect to", path, value)
	default:
		return address, true
	}
	return address, false
}

func parseAddress(value string) (netip.AddrPort, error) {
	if strings.HasPrefix(value, ":") {
		value = "0.0.0.0" + value
	}
	return netip.ParseAddrPort(value)
}

func (c *checker) checkPlatformURL(value string) {
	if value == "" {
		c.add("platform_url", "platform_url is missing")
		return
	}
	c.checkURL("platform_url", value)
}

func (c *checker) checkURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(path, "%s %q is not an http or https URL", path, value)
	}
}

func (c *checker) checkTLS(path string, f TLSFiles) {
	switch {
	case f.CertificateFile != "" && f.KeyFile == "":
		c.add(path, "%s has a certificate_file but no key_file", path)
	case f.CertificateFile == "" && f.KeyFile != "":
		c.add(path, "%s has a key_file but no certificate_file", path)
	case f.CertificateFile == "" && f.CAFile != "":
		c.add(path, "%s has a ca_file but no certificate_file and key_file", path)
	}
}

// listenerFinding describes a listener that lacks TLS, a CA or a token. path is the
// setting with its address.
type listenerFinding struct{ path, message string }

func (c *checker) checkUnprotectedListeners(s *Settings) {
	for _, found := range s.unprotectedListeners() {
		c.add(found.path, "%s", found.message)
	}
}

// CheckListeners returns an error about the first listener that other machines can
// reach and that lacks the protection it needs: TLS, and a token file for operators
// or a CA for peers. Load reports all of them; this method is for settings that do
// not come from a file.
func (s *Settings) CheckListeners() error {
	if found := s.unprotectedListeners(); len(found) > 0 {
		return errors.New(found[0].message)
	}
	return nil
}

// unprotectedListeners returns the listeners that other machines can reach without
// the protection they need. The peer listener also needs a CA, because the peer
// service has no other authentication.
func (s *Settings) unprotectedListeners() []listenerFinding {
	if s.AllowPlainListeners {
		return nil
	}
	var found []listenerFinding
	addFinding := func(path, listen, missing string) {
		found = append(found, listenerFinding{path, fmt.Sprintf(
			"%s %s is not on loopback and has no %s; set allow_plain_listeners = true to permit this", path, listen, missing)})
	}
	if reachableFromOutside(s.CallerListen) && !s.TLS.Caller.Enabled() {
		addFinding("caller_listen", s.CallerListen, "TLS")
	}
	if reachableFromOutside(s.OperatorListen) && !s.TLS.Operator.Enabled() {
		addFinding("operator_listen", s.OperatorListen, "TLS")
	}
	if reachableFromOutside(s.OperatorListen) && s.OperatorTokenFile == "" {
		addFinding("operator_listen", s.OperatorListen, "operator_token_file")
	}
	if reachableFromOutside(s.PeerListen) && (!s.TLS.Peer.Enabled() || s.TLS.Peer.CAFile == "") {
		addFinding("peer_listen", s.PeerListen, "TLS with a ca_file")
	}
	return found
}

func reachableFromOutside(listen string) bool {
	address, err := parseAddress(listen)
	return err == nil && !address.Addr().IsLoopback()
}

func (c *checker) checkTracing(t Tracing) {
	switch t.Exporter {
	case ExporterNone, ExporterLog:
		if t.Endpoint != "" {
			c.add("tracing.endpoint", "tracing.endpoint is not used by exporter %q", t.Exporter)
		}
	case ExporterOTLP:
		if t.Endpoint == "" {
			c.add("tracing", "tracing.endpoint is missing for exporter %q", t.Exporter)
		} else {
			c.checkURL("tracing.endpoint", t.Endpoint)
		}
	default:
		c.add("tracing.exporter", "tracing.exporter %q must be one of none, log, otlp", t.Exporter)
	}
}
