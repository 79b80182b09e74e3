package membership

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// keyStore holds the key of this node and the CA certificates. It reloads the files when one of
// them has changed.
type keyStore struct {
	files TLSFiles
	log   *logrus.Entry

	mu       sync.Mutex
	modTimes [3]time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool
}

// newKeyStore returns a keyStore with the files loaded.
func newKeyStore(files TLSFiles, log *logrus.Entry) (*keyStore, error) {
	k := &keyStore{files: files, log: log}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// current returns the key and the CA certificates. If changed files cannot be loaded, for example
// because they are being replaced, the previous set stays in use.
func (k *keyStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if modTimes, err := k.stat(); err == nil && modTimes != k.modTimes {
		if err := k.loadLocked(); err != nil {
			k.log.WithError(err).Warn("failed to load changed TLS files; keeping the previous ones")
		}
	}
	return k.cert, k.pool
}

func (k *keyStore) load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loadLocked()
}

func (k *keyStore) loadLocked() error {
	const remedy = "give readable PEM files for certificate, key and CA, or allow plaintext in the settings"
	modTimes, err := k.stat()
	if err != nil {
		return model.Wrap(model.KindInvalid, err, remedy, "TLS files")
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, remedy, "TLS key %s", k.files.Key)
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, remedy, "TLS CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return model.Errorf(model.KindInvalid, remedy, "no certificate in %s", k.files.CA)
	}
	k.modTimes, k.cert, k.pool = modTimes, &cert, pool
	return nil
}

func (k *keyStore) stat() (modTimes [3]time.Time, err error) {
	for i, name := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, err
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// server returns the TLS configuration for inbound connections.
func (k *keyStore) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
				// Connections are long-lived, so session tickets would only add traffic.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// client returns the TLS configuration for outbound connections. Peers are addressed by IP
// addresses, which may be reassigned to other hosts. So the certificate must be signed by the CA
// but need not contain the address.
func (k *keyStore) client() *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection checks the chain instead
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return model.Errorf(model.KindDenied, "give the peer a certificate of the CA", "peer without certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return model.Wrap(model.KindDenied, err, "give the peer a certificate of the CA", "peer certificate")
	}
	return nil
}
