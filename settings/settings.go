// Package settings reads the settings file of an entry VM.
package settings

import (
	"bytes"
	"io"
	"os"
	"time"

	"dotterelhead.example/dotterelhead/findings"
	"dotterelhead.example/dotterelhead/tomlfile"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Settings are the settings of one entry VM. Fields that are missing in the file
// have the values of Defaults.
type Settings struct {
	// ID names the entry VM; it is unique in the region.
	ID               string `toml:"id"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// CallerListen, OperatorListen and PeerListen are IP:port. An empty IP
	// address means all addresses of the VM.
	CallerListen   string `toml:"caller_listen"`
	OperatorListen string `toml:"operator_listen"`
	PeerListen     string `toml:"peer_listen"`
	// PeerAddress is the IP:port at which other entry VMs reach this one. The
	// default is PeerListen.
	PeerAddress string `toml:"peer_address"`
	PlatformURL string `toml:"platform_url"`
	// SeedPeers are the peer addresses of other entry VMs. They are asked for
	// documents if the store is down when this entry VM starts.
	SeedPeers []string `toml:"seed_peers"`
	// OperatorTokenFile holds the valid bearer tokens of operators, one a line.
	OperatorTokenFile string `toml:"operator_token_file"`
	// AllowPlainListeners permits listeners that are not on loopback to lack
	// TLS, the token file (operator listener) or the CA (peer listener).
	AllowPlainListeners bool   `toml:"allow_plain_listeners"`
	LogLevel            string `toml:"log_level"`
	// ShutdownLoadBalancerWaitSeconds is the time between reporting not ready
	// and refusing new work, in which the load balancer stops sending requests.
	ShutdownLoadBalancerWaitSeconds float64 `toml:"shutdown_load_balancer_wait_seconds"`
	// RetryBudgetRatio limits retries to this fraction of the recent requests.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	Limits           Limits  `toml:"limits"`
	Policy           Policy  `toml:"policy"`
	TLS              TLS     `toml:"tls"`
	Tracing          Tracing `toml:"tracing"`
}

// Limits bound the resources that one request of a caller may use.
type Limits struct {
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxBodyBytes applies in addition to the limit of the service; the smaller
	// of both is effective.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// DefaultDeadlineSeconds applies to services without a deadline.
	DefaultDeadlineSeconds float64 `toml:"default_deadline_seconds"`
}

// Policy holds the weights of the objectives of capacity decisions: little
// waiting work and few idle slots kept as a buffer. Only the ratio of the weights
// matters.
type Policy struct {
	WaitingWeight float64 `toml:"waiting_weight"`
	BufferWeight  float64 `toml:"buffer_weight"`
}

// TLS names the certificate files of each listener.
type TLS struct {
	Caller   TLSFiles `toml:"caller"`
	Operator TLSFiles `toml:"operator"`
	Peer     TLSFiles `toml:"peer"`
}

// TLSFiles names PEM files. If CAFile is set, clients have to present a certificate
// signed by that CA.
type TLSFiles struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	CAFile          string `toml:"ca_file"`
}

// Enabled reports whether a listener uses TLS.
func (f TLSFiles) Enabled() bool { return f.CertificateFile != "" }

// Trace exporters.
const (
	ExporterNone = "none"
	ExporterLog  = "log"
	ExporterOTLP = "otlp"
)

// Tracing selects where traces are exported to.
type Tracing struct {
	Exporter string `toml:"exporter"`
	// Endpoint is the URL of the OTLP collector.
	Endpoint string `toml:"endpoint"`
}

// Defaults returns the values of fields that are missing in a file.
func Defaults() Settings {
	return Settings{
		CallerListen:                    "127.0.0.1:8080",
		OperatorListen:                  "127.0.0.1:8090",
		PeerListen:                      "127.0.0.1:8100",
		LogLevel:                        "info",
		ShutdownLoadBalancerWaitSeconds: 3,
		RetryBudgetRatio:                0.1,
		Limits: Limits{
			MaxHeaderBytes:         64 << 10,
			MaxBodyBytes:           16 << 20,
			DefaultDeadlineSeconds: 30,
		},
		Policy:  Policy{WaitingWeight: 1, BufferWeight: 1},
		Tracing: Tracing{Exporter: ExporterNone},
	}
}

// ShutdownLoadBalancerWait returns the setting as a duration.
func (s *Settings) ShutdownLoadBalancerWait() time.Duration {
	return seconds(s.ShutdownLoadBalancerWaitSeconds)
}

// DefaultDeadline returns the setting as a duration.
func (l Limits) DefaultDeadline() time.Duration { return seconds(l.DefaultDeadlineSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads a settings file. The files that it names are not opened, so that a
// file can be checked on another machine.
func Load(file string) (*Settings, findings.List) { return load(file, false) }

// LoadWithFiles reads a settings file like Load. It also loads the files that the
// settings name and reports the unusable ones together with the other findings.
func LoadWithFiles(file string) (*Settings, findings.List) { return load(file, true) }

func load(file string, withFiles bool) (*Settings, findings.List) {
	var found findings.List
	f, err := os.Open(file)
	if err != nil {
		found.Add(findings.Position{File: file}, "cannot be opened: %v", err)
		return nil, found
	}
	defer f.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(io.LimitReader(f, maxFileBytes+1)); err != nil {
		found.Add(findings.Position{File: file}, "cannot be read: %v", err)
		return nil, found
	}
	return parse(file, text.Bytes(), withFiles)
}

// Parse parses the text of a settings file. The settings are nil if there are
// findings.
func Parse(file string, text []byte) (*Settings, findings.List) { return parse(file, text, false) }

func parse(file string, text []byte, withFiles bool) (*Settings, findings.List) {
	if len(text) > maxFileBytes {
		var found findings.List
		found.Add(findings.Position{File: file}, "the file has more than %d bytes", maxFileBytes)
		return nil, found
	}
	s := Defaults()
	index, found, ok := tomlfile.Decode(file, text, &s)
	if ok {
		c := checker{index: index, found: found}
		c.checkSettings(&s)
		if withFiles {
			c.checkFiles(&s)
		}
		found = c.found
	}
	if len(found) > 0 {
		return nil, found.Limited()
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	return &s, nil
}
