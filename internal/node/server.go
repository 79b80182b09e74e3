package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// headerTimeout limits the time in which a client sends its request header, so that slow
	// clients do not occupy connections.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle connections, inbound and to the platform.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits a request header.
	maxHeaderBytes = 64 << 10
	// maxIdlePlatformConns limits the idle connections to one platform address.
	maxIdlePlatformConns = 32
)

// dialTimeout limits the time to open a connection to the platform or to a worker.
const dialTimeout = time.Second

// dialer returns a dialer that uses the given local address. If source is empty, the system
// chooses one.
func dialer(source string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d
}

// platformTransport returns the transport for calls to the platform. Idle connections are kept
// for reuse, because every journal append needs one.
func platformTransport(source string) *http.Transport {
	return &http.Transport{
		DialContext:         dialer(source, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdlePlatformConns,
		IdleConnTimeout:     idleTimeout,
	}
}

// listen opens all listeners, so that a port in use is reported before the node starts.
func (n *Node) listen() error {
	for _, l := range []struct {
		setting, addr string
		into          *net.Listener
	}{
		{"--listen", n.settings.Listen, &n.callerLn},
		{"--admin-listen", n.settings.AdminBind, &n.adminLn},
		{"--peer-listen", n.settings.PeerBind, &n.peerLn},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return model.Wrap(model.KindInvalid, err, "choose a free port, or stop the process that holds it", "setting %s", l.setting)
		}
		*l.into = ln
	}
	return nil
}

// buildServers creates the HTTP servers.
func (n *Node) buildServers() error {
	admin, err := n.adminHandler()
	if err != nil {
		return err
	}
	n.callers = newServer(n.callerHandler())
	n.admin = newServer(admin)
	n.admin.TLSConfig, err = n.adminTLS()
	return err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (n *Node) closeListeners() {
	for _, ln := range []net.Listener{n.callerLn, n.adminLn, n.peerLn} {
		if ln != nil {
			_ = ln.Close() // fails if the server has already closed the listener
		}
	}
}

// Addrs returns the addresses on which the node listens.
func (n *Node) Addrs() (callers, admin, peers string) {
	return n.callerLn.Addr().String(), n.adminLn.Addr().String(), n.peerLn.Addr().String()
}

func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	n.addHealth(mux)
	mux.Handle("/", n.chain)
	return mux
}

func (n *Node) adminHandler() (http.Handler, error) {
	mux := http.NewServeMux()
	n.addHealth(mux)
	mux.Handle("/metrics", n.metrics.Handler())
	if n.settings.OperatorTokens == "" {
		mux.HandleFunc(adminapi.Prefix, adminDisabled)
		return mux, nil
	}
	admin, err := adminapi.New(adminapi.Config{OperatorsFile: n.settings.OperatorTokens}, adminapi.Deps{
		Control: n.control, Status: n, Log: n.log,
	})
	if err != nil {
		return nil, err
	}
	mux.Handle(adminapi.Prefix, admin)
	return mux, nil
}

// adminDisabled rejects operators' requests on a node without an operators file.
func adminDisabled(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusForbidden)
	body, _ := json.Marshal(adminapi.ErrorReply{ // encoding strings cannot fail
		Kind: model.KindDenied, Message: "the operators' interface is closed on this node",
		Remedy: "start the node with --operator-tokens",
	})
	_, _ = w.Write(body)
}

// addHealth adds the endpoints for liveness and readiness. notReady lists the conditions for
// readiness.
func (n *Node) addHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// notReady returns the reason why the load balancer should not send callers to this node, or
// the empty string if it should.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "the node is stopping"
	case !n.joined.Load():
		return "the node has not joined with a confirmed view yet"
	case n.control.View().Declaration == nil:
		return "no accepted declaration is known to the node"
	case !n.hasSlotsOfAllServices():
		return "the node holds no slots of a service at present"
	}
	return ""
}

func (n *Node) adminTLS() (*tls.Config, error) {
	s := n.settings
	if s.AdminCert == "" {
		return nil, nil
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The files are read at each handshake, so that renewed files need no restart.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(s.AdminCert, s.AdminKey)
			return &cert, err
		},
	}
	if _, err := cfg.GetCertificate(nil); err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "give a matching certificate and key in PEM", "settings --admin-cert and --admin-key")
	}
	if s.AdminClientCA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(s.AdminClientCA)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "give a readable PEM file", "setting --admin-client-ca")
	}
	cfg.ClientCAs = x509.NewCertPool()
	if !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, settingError("--admin-client-ca", "holds no certificate", "give a PEM file with the authority's certificate")
	}
	cfg.ClientAuth = tls.VerifyClientCertIfGiven
	return cfg, nil
}

// serve runs an HTTP server on its listener until it is shut down or closed.
func serve(s *http.Server, ln net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(ln, "", "")
	} else {
		err = s.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes a server after its requests in flight. When ctx ends, it closes the remaining
// connections.
func shutdown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // ctx has ended
	}
}
