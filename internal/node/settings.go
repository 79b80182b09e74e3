// Package node builds and runs one vpierd process: settings, actors, start and graceful stop.
package node

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Settings are the settings of one vpierd process. Each can be set by a flag or an environment
// variable.
type Settings struct {
	ID         string `arg:"--id,env:VPIERD_ID" help:"node id; a random one is chosen when empty" placeholder:"ID"`
	DataCentre string `arg:"--data-centre,env:VPIERD_DATA_CENTRE" help:"data centre of this host (required)" placeholder:"NAME"`

	Listen    string `arg:"--listen,env:VPIERD_LISTEN" default:"127.0.0.1:8080" help:"IP address and port for callers and health" placeholder:"IP:PORT"`
	AdminBind string `arg:"--admin-listen,env:VPIERD_ADMIN_LISTEN" default:"127.0.0.1:8082" help:"IP address and port for operators, metrics and health" placeholder:"IP:PORT"`
	PeerBind  string `arg:"--peer-listen,env:VPIERD_PEER_LISTEN" default:"127.0.0.1:8081" help:"IP address and port for peers" placeholder:"IP:PORT"`
	Advertise string `arg:"--advertise,env:VPIERD_ADVERTISE" help:"IP address and port at which peers reach this node; the peer listener's address when empty" placeholder:"IP:PORT"`
	Source    string `arg:"--source-address,env:VPIERD_SOURCE_ADDRESS" help:"local IP address of connections to the platform, workers and peers; chosen by the system when empty" placeholder:"IP"`
	Seeds     string `arg:"--seeds,env:VPIERD_SEEDS" help:"comma-separated peer addresses tried before the member list is known" placeholder:"IP:PORT,..."`

	TableURL   string `arg:"--table-url,env:VPIERD_TABLE_URL" help:"base URL of the table service (required)" placeholder:"URL"`
	ObjectsURL string `arg:"--objects-url,env:VPIERD_OBJECTS_URL" help:"base URL of the object store (required)" placeholder:"URL"`
	HostsURL   string `arg:"--hosts-url,env:VPIERD_HOSTS_URL" help:"base URL of the host list (required)" placeholder:"URL"`

	PeerCA        string `arg:"--peer-ca,env:VPIERD_PEER_CA" help:"PEM file with the certificate authority of the peers" placeholder:"FILE"`
	PeerCert      string `arg:"--peer-cert,env:VPIERD_PEER_CERT" help:"PEM file with this node's certificate" placeholder:"FILE"`
	PeerKey       string `arg:"--peer-key,env:VPIERD_PEER_KEY" help:"PEM file with this node's private key" placeholder:"FILE"`
	PeerPlaintext bool   `arg:"--peer-plaintext,env:VPIERD_PEER_PLAINTEXT" help:"talk to peers without TLS; only for loopback and tests"`

	AdminCert     string `arg:"--admin-cert,env:VPIERD_ADMIN_CERT" help:"PEM file with the certificate of the operators' interface; without it only loopback is served" placeholder:"FILE"`
	AdminKey      string `arg:"--admin-key,env:VPIERD_ADMIN_KEY" help:"PEM file with the private key of the operators' interface" placeholder:"FILE"`
	AdminClientCA string `arg:"--admin-client-ca,env:VPIERD_ADMIN_CLIENT_CA" help:"PEM file with the authority of operators' client certificates" placeholder:"FILE"`

	OperatorTokens string `arg:"--operator-tokens,env:VPIERD_OPERATOR_TOKENS" help:"file with one NAME:SHA256-OF-TOKEN line for each operator; without it the operators' interface is closed" placeholder:"FILE"`

	LogLevel string `arg:"--log-level,env:VPIERD_LOG_LEVEL" default:"info" help:"debug, info, warning or error" placeholder:"LEVEL"`

	DrainWait    time.Duration `arg:"--drain-wait,env:VPIERD_DRAIN_WAIT" default:"3s" help:"time between readiness off and refusing new requests, so that the load balancer notices" placeholder:"DURATION"`
	StopTimeout  time.Duration `arg:"--stop-timeout,env:VPIERD_STOP_TIMEOUT" default:"60s" help:"longest time to wait for requests in flight" placeholder:"DURATION"`
	CommitEvery  time.Duration `arg:"--commit-interval,env:VPIERD_COMMIT_INTERVAL" default:"100ms" help:"longest wait of a record for its group commit" placeholder:"DURATION"`
	CellLease    time.Duration `arg:"--cell-lease,env:VPIERD_CELL_LEASE" default:"6s" help:"ownership lease of a cell" placeholder:"DURATION"`
	TaskLease    time.Duration `arg:"--task-lease,env:VPIERD_TASK_LEASE" default:"8s" help:"lease of a running task" placeholder:"DURATION"`
	HostsEvery   time.Duration `arg:"--hosts-interval,env:VPIERD_HOSTS_INTERVAL" default:"1s" help:"time between two reads of the host list" placeholder:"DURATION"`
	StoreWrites  float64       `arg:"--store-writes,env:VPIERD_STORE_WRITES" default:"40" help:"store writes a second that this node may use" placeholder:"N"`
	StoreReads   float64       `arg:"--store-reads,env:VPIERD_STORE_READS" default:"200" help:"store reads a second that this node may use" placeholder:"N"`
	StoreTimeout time.Duration `arg:"--store-timeout,env:VPIERD_STORE_TIMEOUT" default:"2s" help:"deadline of one store operation" placeholder:"DURATION"`

	Seed uint64 `arg:"--seed,env:VPIERD_SEED" help:"seed of the random choices; 0 takes one from the system" placeholder:"N"`
}

// Version is the version that --version prints.
const Version = "0.1.0"

// Version implements the --version flag of go-arg.
func (Settings) Version() string { return "vpierd " + Version }

// Description implements the --help text of go-arg.
func (Settings) Description() string {
	return "vpierd runs one entry host of vanillapier. All instances are equal and keep nothing on disk."
}

// DefaultSettings returns the settings without any flags or environment variables.
func DefaultSettings() Settings {
	var s Settings
	parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &s)
	if err == nil {
		err = parser.Parse(nil)
	}
	if err != nil {
		panic(fmt.Sprintf("defaults of the settings do not parse: %v", err))
	}
	return s
}

// Provision fills in values that were not set.
func (s *Settings) Provision() {
	if s.ID == "" {
		s.ID = randomID()
	}
}

// Validate reports all errors in the settings at once. Each names the setting and a remedy.
func (s *Settings) Validate() error {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	if s.DataCentre == "" {
		add(settingError("--data-centre", "is missing", "name the data centre of this host"))
	}
	add(checkAddress("--listen", s.Listen, false))
	add(checkAddress("--peer-listen", s.PeerBind, false))
	if s.Advertise != "" {
		add(checkAddress("--advertise", s.Advertise, true))
	}
	if s.Source != "" && net.ParseIP(s.Source) == nil {
		add(settingError("--source-address", fmt.Sprintf("is %q", s.Source), "write an IP address of this host such as 10.0.0.5"))
	}
	for _, seed := range s.SeedList() {
		add(checkAddress("--seeds", seed, true))
	}
	add(checkURL("--table-url", s.TableURL))
	add(checkURL("--objects-url", s.ObjectsURL))
	add(checkURL("--hosts-url", s.HostsURL))
	add(s.checkTLS())
	add(checkAddress("--admin-listen", s.AdminBind, false))
	add(s.checkAdminTLS())
	add(checkReadable("--operator-tokens", s.OperatorTokens))
	add(s.checkDurations())
	if s.StoreReads <= 0 || s.StoreWrites <= 0 {
		add(settingError("--store-reads and --store-writes", "must be above 0", "give the operations a second that this node may use"))
	}
	return errors.Join(errs...)
}

func (s *Settings) checkTLS() error {
	given := 0
	for _, file := range []string{s.PeerCA, s.PeerCert, s.PeerKey} {
		if file != "" {
			given++
		}
	}
	switch {
	case s.PeerPlaintext && given > 0:
		return settingError("--peer-plaintext", "contradicts --peer-ca, --peer-cert and --peer-key", "give the three files or --peer-plaintext, not both")
	case s.PeerPlaintext:
		return nil
	case given < 3:
		return settingError("--peer-ca, --peer-cert and --peer-key", "are not all given", "give all three files, or --peer-plaintext on loopback")
	}
	return errors.Join(
		checkReadable("--peer-ca", s.PeerCA),
		checkReadable("--peer-cert", s.PeerCert),
		checkReadable("--peer-key", s.PeerKey),
	)
}

func (s *Settings) checkAdminTLS() error {
	if (s.AdminCert == "") != (s.AdminKey == "") {
		return settingError("--admin-cert and --admin-key", "belong together", "give both files or neither")
	}
	if s.AdminClientCA != "" && s.AdminCert == "" {
		return settingError("--admin-client-ca", "needs --admin-cert and --admin-key", "give these files as well")
	}
	return errors.Join(
		checkReadable("--admin-cert", s.AdminCert),
		checkReadable("--admin-key", s.AdminKey),
		checkReadable("--admin-client-ca", s.AdminClientCA),
	)
}

func (s *Settings) checkDurations() error {
	var errs []error
	for _, d := range []struct {
		name     string
		value    time.Duration
		min, max time.Duration
	}{
		{"--drain-wait", s.DrainWait, 0, 5 * time.Minute},
		{"--stop-timeout", s.StopTimeout, time.Second, time.Hour},
		{"--commit-interval", s.CommitEvery, time.Millisecond, time.Second},
		{"--cell-lease", s.CellLease, time.Second, time.Minute},
		{"--task-lease", s.TaskLease, time.Second, 5 * time.Minute},
		{"--hosts-interval", s.HostsEvery, 100 * time.Millisecond, time.Minute},
		{"--store-timeout", s.StoreTimeout, 50 * time.Millisecond, 30 * time.Second},
	} {
		if d.value < d.min || d.value > d.max {
			errs = append(errs, settingError(d.name, fmt.Sprintf("is %s", d.value), fmt.Sprintf("choose from %s to %s", d.min, d.max)))
		}
	}
	if s.StoreTimeout >= s.CellLease {
		errs = append(errs, settingError("--store-timeout", "is not below --cell-lease", "an operation must be able to fail before the lease expires"))
	}
	return errors.Join(errs...)
}

// SeedList returns the addresses of Seeds without empty entries.
func (s *Settings) SeedList() []string {
	var seeds []string
	for _, seed := range strings.Split(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func settingError(name, problem, remedy string) error {
	return model.Errorf(model.KindInvalid, remedy, "setting %s %s", name, problem)
}

// checkAddress accepts an IP address with a port. Host names are rejected, because nodes reach
// each other by IP address only.
func checkAddress(name, addr string, needsPort bool) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return settingError(name, fmt.Sprintf("is %q", addr), "write an IP address and a port such as 10.0.0.5:8080")
	}
	if net.ParseIP(host) == nil {
		return settingError(name, fmt.Sprintf("has %q in place of an IP address", host), "write an IP address such as 10.0.0.5")
	}
	if needsPort && port == "0" {
		return settingError(name, "has port 0", "give the port at which peers reach this node")
	}
	return nil
}

func checkURL(name, raw string) error {
	if raw == "" {
		return settingError(name, "is missing", "give a URL such as http://10.0.0.9:7000")
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return settingError(name, fmt.Sprintf("is %q", raw), "give a URL such as http://10.0.0.9:7000")
	}
	return nil
}

func checkReadable(name, file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Open(file)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "give a file that this process can read", "setting %s", name)
	}
	return f.Close()
}

// idBytes is the number of random bytes in a generated node id.
const idBytes = 8

func randomID() string {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("system random source failed: %v", err))
	}
	return hex.EncodeToString(b[:])
}
