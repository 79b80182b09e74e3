// Package membership connects the nodes: JSON-RPC 2.0 over TCP with TLS, gossip of
// bounded digests, suspicion of members that are not heard of, and graceful
// leave. It never removes a member; that takes a record of the control journal.
package membership

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Defaults of Config.
const (
	// DefaultGossipInterval gives two exchanges a second.
	DefaultGossipInterval = 500 * time.Millisecond
	// DefaultSuspectAfter is the shortest silence that makes a member suspect.
	DefaultSuspectAfter = 5 * time.Second
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// DefaultDigestLimit is the size of an exchange in bytes. A node sends four a
	// second (two requests, two answers), which with envelope and TLS records
	// stays below 4 KB a second.
	DefaultDigestLimit = 900
	// DefaultMessageLimit bounds any message, in bytes; control.fetch and
	// cell.tail carry journal rows.
	DefaultMessageLimit = 4 << 20
	// DefaultHandlers bounds requests in execution.
	DefaultHandlers = 64
	// DefaultConnections bounds inbound connections.
	DefaultConnections = 1024
	// maxBeats bounds the members that one exchange tells about.
	maxBeats = 12
	// leaveNotices bounds the members that a leaving node tells directly; the
	// leave record tells the others.
	leaveNotices = 8
)

// TLSFiles names the PEM files of a node's key. They are read again when they
// change, without a restart. Certificates need the key usages for both servers
// and clients, and need not name addresses.
type TLSFiles struct {
	// Cert and Key are the node's certificate and private key.
	Cert string
	Key  string
	// CA holds the certificates that sign the peers' certificates.
	CA string
}

// Config configures a Service.
type Config struct {
	// Node, Addr and DataCentre describe this node to its peers. Addr is the
	// address and port that peers call. Required.
	Node       model.NodeID
	Addr       string
	DataCentre model.DataCentre
	// Incarnation grows with each start of a process under the same node id.
	// Default: the start time in seconds.
	Incarnation uint64
	// Listen is the listening address; default Addr.
	Listen string
	// TLS names the key files. Required unless Plaintext is true.
	TLS TLSFiles
	// Plaintext switches TLS off.
	Plaintext bool
	// Seeds are addresses of nodes to contact before the control view names any.
	Seeds []string
	// Members returns the members of the control view; default none. It is called
	// with a lock held, so it must not call the service.
	Members func() []control.Member
	// Digest returns this node's state for its peers as JSON of at most limit
	// bytes; default none. It is called for each exchange.
	Digest func(limit int) json.RawMessage
	// Merge takes the digest of a peer; default none.
	Merge func(from Peer, digest json.RawMessage)
	// OnLeave is called when a peer announces that it leaves; default none.
	OnLeave func(node model.NodeID)
	// GossipInterval is the time between exchanges that this node begins.
	GossipInterval time.Duration
	// ManualGossip leaves the calls of GossipOnce to the user, for tests and replay.
	ManualGossip bool
	// SuspectAfter is the shortest silence that makes a member suspect. It grows
	// with the number of members, as news of each becomes rarer.
	SuspectAfter time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// DigestLimit and MessageLimit bound an exchange and any message, in bytes.
	DigestLimit  int
	MessageLimit int
	// Handlers and Connections bound requests in execution and inbound connections.
	Handlers    int
	Connections int
	// Seed fixes the choice of peers; default random.
	Seed uint64
	// Now returns the time; default time.Now.
	Now func() time.Time
	// Dial opens connections; default TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives warnings; nil discards them.
	Log *logrus.Entry
	// Metrics registers the metrics; nil counts without serving.
	Metrics *telemetry.Metrics
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c *Config) provision() {
	orDefault(&c.Incarnation, uint64(time.Now().Unix()))
	orDefault(&c.Listen, c.Addr)
	orDefault(&c.GossipInterval, DefaultGossipInterval)
	orDefault(&c.SuspectAfter, DefaultSuspectAfter)
	orDefault(&c.CallTimeout, DefaultCallTimeout)
	orDefault(&c.DigestLimit, DefaultDigestLimit)
	orDefault(&c.MessageLimit, DefaultMessageLimit)
	orDefault(&c.Handlers, DefaultHandlers)
	orDefault(&c.Connections, DefaultConnections)
	orDefault(&c.Seed, uint64(time.Now().UnixNano()))
	if c.Members == nil {
		c.Members = func() []control.Member { return nil }
	}
	if c.Digest == nil {
		c.Digest = func(int) json.RawMessage { return nil }
	}
	if c.Merge == nil {
		c.Merge = func(Peer, json.RawMessage) {}
	}
	if c.OnLeave == nil {
		c.OnLeave = func(model.NodeID) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	if c.Log == nil {
		l := logrus.New()
		l.SetOutput(discard{})
		c.Log = logrus.NewEntry(l)
	}
}

// discard drops log lines.
type discard struct{}

// Write drops p.
func (discard) Write(p []byte) (int, error) { return len(p), nil }
