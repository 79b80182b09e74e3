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
	// headerTimeout bounds the time in which a client sends its request header,
	// so that slow clients do not hold connections.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
	// platformConnections bounds the idle connections to one platform address.
	platformConnections = 32
)

// dialTimeout bounds the opening of a connection to the platform or to a worker.
const dialTimeout = time.Second

// dialer opens connections from the given local address, or from one that the
// system chooses.
func dialer(source string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d
}

// platformTransport returns the transport towards the platform. Connections stay
// open between calls because every journal append needs one.
func platformTransport(source string) *http.Transport {
	return &http.Transport{
		DialContext:         dialer(source, dialTimeout).DialContext,
		MaxIdleConnsPerHost: platformConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// listen opens all listeners, so that a port in use is found before anything runs.
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
			_ = ln.Close() // a listener that its server closed already is no fault
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
		mux.HandleFunc(adminapi.Prefix, closedAdmin)
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

// closedAdmin answers operators on a node without an operators file.
func closedAdmin(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusForbidden)
	body, _ := json.Marshal(adminapi.ErrorReply{ // plain strings always encode
		Kind: model.KindDenied, Message: "the operators' interface is closed on this node",
		Remedy: "start the node with --operator-tokens",
	})
	_, _ = w.Write(body)
}

// addHealth adds liveness and readiness. Readiness is off before the node has
// joined with a confirmed view, and from the start of a graceful stop.
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

// notReady returns why the load balancer should not send callers here, or the
// empty string.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "the node is stopping"
	case !n.joined.Load():
		return "the node has not joined with a confirmed view yet"
	case n.control.View().Declaration == nil:
		return "no accepted declaration is known to the node"
	case !n.holdsSlots():
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
		// Read at each handshake, so that renewed files need no restart.
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

// serve runs an HTTP server on its listener until Shutdown.
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

// shutdown ends a server; connections that are idle or finish in time end cleanly.
func shutdown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // the context has ended; what remains is cut
	}
}
