package operator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	stdlog "log"
	"math/big"
	"net"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	der, key := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a.cert, a.key = cert, key
	return a
}

// sign returns a certificate signed by the authority, or a self-signed one when the
// authority has no certificate yet.
func (a *authority) sign(c *x509.Certificate) ([]byte, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(1), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	return der, key
}

// client writes a client certificate and its key to files and returns their paths.
func (a *authority) client(r *harness, file, name string) (string, string) {
	der, key := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	encode := func(kind string, der []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	return r.writeFile(file+".pem", encode("CERTIFICATE", der)), r.writeFile(file+".key", encode("EC PRIVATE KEY", keyDER))
}

// Guards against certificates that are not verified on either side, and against an actor
// that is not the common name of the client certificate.
func TestTLS(t *testing.T) {
	r := newHarnessWithDeclaration(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler, err := adminapi.New(adminapi.Config{OperatorsFile: r.writeFile("operators-tls", "carl:certificate\n")},
		adminapi.Deps{Control: r.cluster, Status: r.cluster, Log: logrus.NewEntry(log)})
	require.NoError(t, err)
	ca := newAuthority(t)
	der, key := ca.sign(&x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}})
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = stdlog.New(io.Discard, "", 0)
	server.TLS = &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientCAs:    pool, ClientAuth: tls.VerifyClientCertIfGiven,
	}
	server.StartTLS()
	t.Cleanup(server.Close)
	caFile := r.writeFile("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw})))
	carlCert, carlKey := ca.client(r, "carl", "carl")
	nodeCert, nodeKey := ca.client(r, "node", "node-3")
	otherCert, otherKey := newAuthority(t).client(r, "other", "carl")
	address := server.Listener.Addr().String()

	code, _, errs := r.runArgs("--node", address, "--ca", caFile, "--cert", carlCert, "--key", carlKey, "drain", "a")
	require.Equal(t, ExitOK, code, errs)
	assert.Equal(t, "carl", r.cluster.entries[2].Record.Actor)
	code, _, errs = r.runArgs("--node", address, "--ca", caFile, "--cert", nodeCert, "--key", nodeKey, "return", "a")
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errs, `"node-3" is not an operator`)
	code, _, errs = r.runArgs("--node", address, "--ca", caFile, "--cert", otherCert, "--key", otherKey, "return", "a")
	assert.Equal(t, ExitUnavailable, code, "a certificate of another authority")
	assert.Contains(t, errs, "check --cert and --key")
	code, _, errs = r.runArgs("--node", address, "--token-file", filepath.Join(r.dir, "token"), "return", "a")
	assert.Equal(t, ExitUnavailable, code, "the token must not go to a node that is not verified")
	assert.Contains(t, errs, "--ca")
	assert.Len(t, r.cluster.entries, 3)
}
