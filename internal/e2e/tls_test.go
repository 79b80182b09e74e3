package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// authority is a certificate authority for the nodes.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority(t *testing.T, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// keyFiles is the directory with the TLS files of one node.
type keyFiles struct{ dir string }

func (f keyFiles) path(name string) string { return filepath.Join(f.dir, name) }

func (f keyFiles) flags() []string {
	return []string{"--peer-ca", f.path("ca"), "--peer-cert", f.path("cert"), "--peer-key", f.path("key")}
}

// trust replaces the authorities that a node trusts.
func (f keyFiles) trust(t *testing.T, authorities ...*authority) {
	var bundle []byte
	for _, a := range authorities {
		bundle = append(bundle, a.pem...)
	}
	require.NoError(t, os.WriteFile(f.path("ca"), bundle, 0o600))
}

// issue replaces a node's certificate and key.
func (a *authority) issue(f keyFiles) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	require.NoError(a.t, os.WriteFile(f.path("key"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	require.NoError(a.t, os.WriteFile(f.path("cert"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
}

// hasHeardFrom reports whether a node's status lists another node as a peer.
func (c *cluster) hasHeardFrom(p *process, id model.NodeID) bool {
	s, _ := c.nodeStatus(p)
	return slices.ContainsFunc(s.Peers, func(peer adminapi.PeerStatus) bool { return peer.Node == id })
}

// nodeID waits for a node's status and returns its id.
func (c *cluster) nodeID(p *process) model.NodeID {
	var id model.NodeID
	c.wait("status", func() bool {
		s, ok := c.nodeStatus(p)
		id = s.Node
		return ok
	})
	return id
}

// Guards against keys that cannot be replaced without a restart, and against peers that
// communicate with a node whose certificate is from an untrusted authority.
func TestPeerKeysAreReplacedWithoutRestart(t *testing.T) {
	c := newEmptyCluster(t)
	former, next, foreign := newAuthority(t, "former"), newAuthority(t, "next"), newAuthority(t, "foreign")
	files := map[int]keyFiles{}
	for i := range 4 {
		files[i] = keyFiles{t.TempDir()}
		files[i].trust(t, former)
		former.issue(files[i])
	}
	c.peerFlags = func(i int) []string { return files[i].flags() }
	c.nodes = append(c.nodes, c.launch(0), c.launch(1))
	c.acceptDeclaration()
	first, second := c.nodeID(c.node(0)), c.nodeID(c.node(1))
	c.wait("nodes hear each other", func() bool { return c.hasHeardFrom(c.node(0), second) && c.hasHeardFrom(c.node(1), first) })

	foreign.issue(files[2])
	files[2].trust(t, foreign, former)
	foreignNode := c.launch(2)
	foreignID := c.nodeID(foreignNode)
	c.wait("foreign node listed", func() bool {
		var view adminapi.ViewReply
		c.readView(c.node(0), &view)
		return len(view.Members) == 3
	})
	c.waitAllDone(c.submitOrders("with-stranger", 2, 2, 2000)) // several gossip rounds
	require.False(t, c.hasHeardFrom(c.node(0), foreignID))
	require.False(t, c.hasHeardFrom(c.node(1), foreignID))
	require.False(t, c.hasHeardFrom(foreignNode, first))
	foreignNode.signal(syscall.SIGTERM) // a member that is killed prevents new nodes from taking slots
	<-foreignNode.done

	for i := range 2 {
		files[i].trust(t, former, next)
	}
	for i := range 2 {
		next.issue(files[i])
	}
	for i := range 2 {
		files[i].trust(t, next)
	}
	next.issue(files[3])
	files[3].trust(t, next)
	joined := c.start(3)
	third := c.nodeID(joined)
	c.wait("a node with the next authority's key is heard", func() bool {
		return c.hasHeardFrom(c.node(0), third) && c.hasHeardFrom(c.node(1), third) && c.hasHeardFrom(joined, first)
	})
	c.waitAllDone(c.submitOrders("rotated", 2, 2, 200))
	c.requireNoViolations()
}
