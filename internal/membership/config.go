// Package membership connects the nodes. It provides JSON-RPC 2.0 over TCP with TLS, gossip of
// digests of limited size, detection of silent members, and announcements of graceful leaves.
// It never removes a member; that requires a record in the control journal.
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
	// DefaultGossipInterval results in two exchanges a second that the node begins.
	DefaultGossipInterval = 500 * time.Millisecond
	// DefaultSuspectAfter is the minimum silence after which a member is suspected.
	DefaultSuspectAfter = 5 * time.Second
	// DefaultCallTimeout limits a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// DefaultDigestLimit limits an exchange message, in bytes. A node sends four a second (two
	// requests, two replies). Together with envelopes and TLS records this is below 4 KB a
	// second.
	DefaultDigestLimit = 900
	// DefaultMessageLimit limits any message, in bytes. The replies to control.fetch and
	// cell.tail contain journal rows.
	DefaultMessageLimit = 4 << 20
	// DefaultHandlers limits the requests in execution.
	DefaultHandlers = 64
	// DefaultConnections limits the inbound connections.
	DefaultConnections = 1024
	// maxHeartbeats limits the heartbeats of other members in one exchange message.
	maxHeartbeats = 12
	// maxLeaveNotices limits the members that a leaving node notifies directly. The others
	// learn of the leave from the leave record.
	maxLeaveNotices = 8
)

// TLSFiles holds the paths of the PEM files for TLS. Changed files are loaded without a restart.
// Certificates need the extended key usages for both servers and clients. They need not contain
// addresses.
type TLSFiles struct {
	// Cert and Key are the node's certificate and private key.
	Cert string
	Key  string
	// CA contains the CA certificates that peers' certificates are verified against.
	CA string
}

// Config configures a Service.
type Config struct {
	// Node, Addr and DataCentre describe this node to its peers. Addr is the
	// address and port that peers call. Required.
	Node       model.NodeID
	Addr       string
	DataCentre model.DataCentre
	// Incarnation must increase with each start of a process with the same node id.
	// Default: the start time in seconds.
	Incarnation uint64
	// Listen is the listening address; default Addr.
	Listen string
	// TLS holds the paths of the TLS files. Required unless Plaintext is true.
	TLS TLSFiles
	// Plaintext disables TLS.
	Plaintext bool
	// Seeds are addresses of nodes to contact while the control view has no other members.
	Seeds []string
	// Members returns the members of the control view; default none. It is called
	// with the service's lock held, so it must not call the service.
	Members func() []control.Member
	// Digest returns this node's state for its peers as JSON of at most limit
	// bytes; default none. It is called for each exchange.
	Digest func(limit int) json.RawMessage
	// Merge applies the digest of a peer; default none.
	Merge func(from Peer, digest json.RawMessage)
	// OnLeave is called when a peer announces that it leaves; default none.
	OnLeave func(node model.NodeID)
	// GossipInterval is the time between exchanges that this node begins.
	GossipInterval time.Duration
	// ManualGossip disables the periodic calls of GossipOnce, for tests and replay.
	ManualGossip bool
	// SuspectAfter is the minimum silence after which a member is suspected. The actual
	// time grows with the number of members, because heartbeats of each arrive less often.
	SuspectAfter time.Duration
	// CallTimeout limits a call whose context has no deadline.
	CallTimeout time.Duration
	// DigestLimit and MessageLimit limit an exchange message and any message, in bytes.
	DigestLimit  int
	MessageLimit int
	// Handlers and Connections limit the requests in execution and the inbound connections.
	Handlers    int
	Connections int
	// Seed is the seed for the random choice of peers; default random.
	Seed uint64
	// Now returns the time; default time.Now.
	Now func() time.Time
	// Dial opens connections; default TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives warnings; nil discards them.
	Log *logrus.Entry
	// Metrics registers the metrics; nil leaves them unregistered.
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

// discard is a writer that discards its input.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }
