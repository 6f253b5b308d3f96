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

// Upper limits that refuse slips of the keyboard.
const (
	minHeaderBytes     = 4 << 10
	maxHeaderBytes     = 16 << 20
	maxBodyBytes       = 1 << 30
	maxDeadlineSeconds = 86_400
	maxShutdownSeconds = 600
	maxWeight          = 1e6
)

// name keeps identifiers usable in store keys and metric labels.
var name = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

type checker struct {
	index *tomlfile.Index
	found findings.List
}

func (c *checker) add(path, format string, args ...any) {
	c.found.Add(c.index.At(path), format, args...)
}

func (c *checker) settings(s *Settings) {
	c.name("id", s.ID)
	c.name("region", s.Region)
	c.name("availability_zone", s.AvailabilityZone)
	c.addresses(s)
	c.platform(s.PlatformURL)
	c.tls("tls.caller", s.TLS.Caller)
	c.tls("tls.operator", s.TLS.Operator)
	c.tls("tls.peer", s.TLS.Peer)
	c.plainListeners(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.add("log_level", "log_level %q must be one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	c.number("shutdown_load_balancer_wait_seconds", s.ShutdownLoadBalancerWaitSeconds, 0, maxShutdownSeconds)
	c.number("retry_budget_ratio", s.RetryBudgetRatio, 0, 1)
	c.number("limits.max_header_bytes", float64(s.Limits.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.number("limits.max_body_bytes", float64(s.Limits.MaxBodyBytes), 0, maxBodyBytes)
	// A shorter deadline than 1 ms leaves no time for any request.
	c.number("limits.default_deadline_seconds", s.Limits.DefaultDeadlineSeconds, 0.001, maxDeadlineSeconds)
	c.number("policy.waiting_weight", s.Policy.WaitingWeight, 0, maxWeight)
	c.number("policy.buffer_weight", s.Policy.BufferWeight, 0, maxWeight)
	if s.Policy.WaitingWeight == 0 && s.Policy.BufferWeight == 0 {
		c.add("policy.waiting_weight", "policy.waiting_weight and policy.buffer_weight are both 0; at least one aim needs a weight")
	}
	c.tracing(s.Tracing)
}

func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.add(path, "%s is missing", path)
	case !name.MatchString(value):
		c.add(path, "%s %q must be 1 to 63 letters, digits and inner dots, hyphens and underscores", path, value)
	}
}

// number also refuses NaN, for which every comparison is false.
func (c *checker) number(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, "%s is %v, must be from %v to %v", path, value, low, trimmed(high))
	}
}

// trimmed writes large limits without an exponent.
func trimmed(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprint(v)
}

func (c *checker) addresses(s *Settings) {
	listeners := map[string]string{}
	for _, l := range []struct{ path, value string }{
		{"caller_listen", s.CallerListen},
		{"operator_listen", s.OperatorListen},
		{"peer_listen", s.PeerListen},
	} {
		address, ok := c.address(l.path, l.value, true)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, taken := listeners[l.value]; taken {
			c.add(l.path, "%s is %s like %s; each listener needs its own", l.path, l.value, other)
		}
		listeners[l.value] = l.path
	}
	if s.PeerAddress != "" {
		c.address("peer_address", s.PeerAddress, false)
	} else if a, err := parseAddress(s.PeerListen); err == nil && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.add("peer_listen", "peer_address is missing; other entry VMs cannot reach %s", s.PeerListen)
	}
	for i, peer := range s.SeedPeers {
		c.address(fmt.Sprintf("seed_peers[%d]", i), peer, false)
	}
}

// address checks IP:port. A listener may leave the IP address or port open.
func (c *checker) address(path, value string, listener bool) (netip.AddrPort, bool) {
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

func (c *checker) platform(value string) {
	if value == "" {
		c.add("platform_url", "platform_url is missing")
		return
	}
	c.url("platform_url", value)
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(path, "%s %q is not an http or https URL", path, value)
	}
}

func (c *checker) tls(path string, f TLSFiles) {
	switch {
	case f.CertificateFile != "" && f.KeyFile == "":
		c.add(path, "%s has a certificate_file but no key_file", path)
	case f.CertificateFile == "" && f.KeyFile != "":
		c.add(path, "%s has a key_file but no certificate_file", path)
	case f.CertificateFile == "" && f.CAFile != "":
		c.add(path, "%s has a ca_file but no certificate_file and key_file", path)
	}
}

// listenerFinding is what is wrong with the protection of a listener.
type listenerFinding struct{ path, message string }

func (c *checker) plainListeners(s *Settings) {
	for _, found := range s.plainListeners() {
		c.add(found.path, "%s", found.message)
	}
}

// CheckListeners refuses settings with listeners that others reach without
// protection. Load does so too; this is for settings that come from no file.
func (s *Settings) CheckListeners() error {
	if found := s.plainListeners(); len(found) > 0 {
		return errors.New(found[0].message)
	}
	return nil
}

// plainListeners finds listeners that others reach without protection. Peers
// need a CA besides, because the peer service has no other authentication.
func (s *Settings) plainListeners() []listenerFinding {
	if s.AllowPlainListeners {
		return nil
	}
	var found []listenerFinding
	refuse := func(path, listen, lack string) {
		found = append(found, listenerFinding{path, fmt.Sprintf(
			"%s %s is not on loopback and has no %s; set allow_plain_listeners = true to permit this", path, listen, lack)})
	}
	if exposed(s.CallerListen) && !s.TLS.Caller.Enabled() {
		refuse("caller_listen", s.CallerListen, "TLS")
	}
	if exposed(s.OperatorListen) && !s.TLS.Operator.Enabled() {
		refuse("operator_listen", s.OperatorListen, "TLS")
	}
	if exposed(s.OperatorListen) && s.OperatorTokenFile == "" {
		refuse("operator_listen", s.OperatorListen, "operator_token_file")
	}
	if exposed(s.PeerListen) && (!s.TLS.Peer.Enabled() || s.TLS.Peer.CAFile == "") {
		refuse("peer_listen", s.PeerListen, "TLS with a ca_file")
	}
	return found
}

func exposed(listen string) bool {
	address, err := parseAddress(listen)
	return err == nil && !address.Addr().IsLoopback()
}

func (c *checker) tracing(t Tracing) {
	switch t.Exporter {
	case ExporterNone, ExporterLog:
		if t.Endpoint != "" {
			c.add("tracing.endpoint", "tracing.endpoint has no use with exporter %q", t.Exporter)
		}
	case ExporterOTLP:
		if t.Endpoint == "" {
			c.add("tracing", "tracing.endpoint is missing for exporter %q", t.Exporter)
		} else {
			c.url("tracing.endpoint", t.Endpoint)
		}
	default:
		c.add("tracing.exporter", "tracing.exporter %q must be one of none, log, otlp", t.Exporter)
	}
}
