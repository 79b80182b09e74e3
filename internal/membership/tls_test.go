package membership

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// authority is a test CA.
type authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, key: key, cert: cert, der: der}
}

func writePEM(t testing.TB, name, kind string, der []byte) {
	require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a key and certificate signed by the authority to dir, and the certificate of
// trust as the CA.
func (a *authority) issue(dir string, trust *authority) TLSFiles {
	f := TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	writePEM(a.t, f.Cert, "CERTIFICATE", der)
	writePEM(a.t, f.Key, "EC PRIVATE KEY", keyDER)
	writePEM(a.t, f.CA, "CERTIFICATE", trust.der)
	return f
}

// startTLS starts a service with the given TLS files.
func (n *network) startTLS(id string, files TLSFiles) *Service {
	return n.start(id, "127.0.0.1:0", func(c *Config) { c.Plaintext, c.TLS = false, files })
}

// Guards against accepting peers without a certificate of the configured CA, in either direction,
// and plaintext peers on a node that uses TLS.
func TestWrongCertificate(t *testing.T) {
	n, good, other := newNetwork(t), newAuthority(t), newAuthority(t)
	a := n.startTLS("a", good.issue(t.TempDir(), good))
	b := n.startTLS("b", good.issue(t.TempDir(), good))
	foreign := n.startTLS("foreign", other.issue(t.TempDir(), other))
	trusting := n.startTLS("trusting", other.issue(t.TempDir(), good))
	plain := n.start("plain", "127.0.0.1:0", nil)

	require.NoError(t, a.exchangeWith(t.Context(), target{"b", b.addr}))
	for _, stranger := range []*Service{foreign, trusting, plain} {
		require.Error(t, stranger.exchangeWith(t.Context(), target{"a", a.addr}), stranger.cfg.Node)
		require.Error(t, a.exchangeWith(t.Context(), target{stranger.cfg.Node, stranger.addr}), stranger.cfg.Node)
	}
	require.Len(t, a.Peers(), 1)
	_, err := New(Config{Node: "x", Addr: "127.0.0.1:1"})
	require.Equal(t, model.KindInvalid, model.KindOf(err), "plaintext without the setting")
}

// Guards against new keys that need a restart, and against a node that stops working while its
// TLS files are being replaced.
func TestKeysAreReloaded(t *testing.T) {
	n, old, renewed := newNetwork(t), newAuthority(t), newAuthority(t)
	dirA, dirB := t.TempDir(), t.TempDir()
	a, b := n.startTLS("a", old.issue(dirA, old)), n.startTLS("b", old.issue(dirB, old))
	reconnect := func() error {
		a.link(b.addr).close()
		return a.exchangeWith(t.Context(), target{"b", b.addr})
	}
	require.NoError(t, reconnect())

	renewed.issue(dirA, renewed)
	touch(t, dirA, time.Minute)
	require.Error(t, reconnect(), "b does not trust the new CA yet")
	renewed.issue(dirB, renewed)
	touch(t, dirB, time.Minute)
	require.NoError(t, reconnect())

	require.NoError(t, os.WriteFile(filepath.Join(dirB, "key.pem"), []byte("half"), 0o600))
	touch(t, dirB, 2*time.Minute)
	require.NoError(t, reconnect())
}

// touch sets new modification times, regardless of the time resolution of the file system.
func touch(t *testing.T, dir string, by time.Duration) {
	for _, name := range []string{"cert.pem", "key.pem", "ca.pem"} {
		at := time.Now().Add(by)
		require.NoError(t, os.Chtimes(filepath.Join(dir, name), at, at))
	}
}
