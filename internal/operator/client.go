package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxReplyBytes bounds the size of a node's response.
const maxReplyBytes = 64_000_000

// client sends requests to the nodes.
type client struct {
	nodes      []string
	orderNodes []string
	token      string
	http       *http.Client
	timeout    time.Duration
}

// newClient validates the settings and returns a client. It opens no connection.
func newClient(a clientArgs) (*client, error) {
	if a.Timeout <= 0 {
		return nil, model.Errorf(model.KindInvalid, "give --timeout a duration above 0, such as 15s", "the timeout is %s", a.Timeout)
	}
	nodes, err := baseURLs(a.Nodes, a.Plaintext)
	if err != nil {
		return nil, err
	}
	orders, err := baseURLs(a.OrderNodes, a.Plaintext)
	if err != nil {
		return nil, err
	}
	if len(orders) == 0 {
		orders = nodes
	}
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, err
	}
	config, err := tlsConfig(a)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 2}
	return &client{
		nodes: nodes, orderNodes: orders, token: token, timeout: a.Timeout,
		// Following a redirect could send the token to another host.
		http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}, nil
}

// baseURLs turns addresses into URLs without a path. An address without a
// scheme is reached over https.
func baseURLs(addresses []string, plaintext bool) ([]string, error) {
	var out []string
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "https://" + address
		}
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
			return nil, model.Errorf(model.KindInvalid, "write host:port, https://host:port or http://host:port", "%q is not the address of a node", address)
		}
		if u.Scheme == "http" && !plaintext && !isLoopback(u.Hostname()) {
			return nil, model.Errorf(model.KindInvalid, "use https, or set --plaintext on a network that you trust", "%s would send the token without TLS", address)
		}
		out = append(out, u.Scheme+"://"+u.Host)
	}
	return out, nil
}

// isLoopback reports whether host is localhost or a loopback address.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// readToken reads the token file; an empty path means no token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	if err := checkReadable(path); err != nil {
		return "", err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fileError(path, err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", model.Errorf(model.KindInvalid, "write the token alone into the file", "the token file %s does not hold one token", path)
	}
	return token, nil
}

// tlsConfig loads the CA certificates and the client certificate.
func tlsConfig(a clientArgs) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.CA != "" {
		pem, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, fileError(a.CA, err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, model.Errorf(model.KindInvalid, "pass a PEM file of certificates", "%s holds no certificate", a.CA)
		}
	}
	if (a.Cert == "") != (a.Key == "") {
		return nil, model.Errorf(model.KindInvalid, "give both or neither", "only one of --cert and --key is given")
	}
	if a.Cert != "" {
		cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "pass the PEM files of a certificate and its key", "client certificate")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}

// request is an HTTP request without the address of the node.
type request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// response is a node's HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends r to one node. The error is of kind unavailable when the request
// did not reach the node and unknown when it may have been executed.
func (c *client) send(ctx context.Context, node string, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, node+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, model.Wrap(model.KindInvalid, err, "check the address of the node", "request to %s", node)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, transportError(node, r.method, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return response{}, transportError(node, r.method, err)
	}
	return response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// transportError classifies an error without a response. A request that got no
// connection, or that only reads, has changed nothing.
func transportError(node, method string, err error) error {
	const remedy = "check the address and that the node runs, or add another --node"
	var op *net.OpError
	var cert *tls.CertificateVerificationError
	switch {
	case errors.As(err, &cert):
		return model.Wrap(model.KindUnavailable, cert.Err, "set --ca to the authority of the nodes' certificates", "%s is not trusted", node)
	case errors.As(err, &op) && op.Op == "remote error": // a TLS alert: the request was not read
		return model.Wrap(model.KindUnavailable, err, "check --cert and --key, and that the node trusts their authority", "node %s refused the TLS connection", node)
	case errors.As(err, &op) && op.Op == "dial", method == http.MethodGet:
		return model.Wrap(model.KindUnavailable, err, remedy, "node %s did not answer", node)
	}
	return model.Wrap(model.KindUnknown, err, "repeat the command with the same id", "node %s gave no complete answer", node)
}

// get reads JSON from the admin API of one node.
func (c *client) get(ctx context.Context, node, path string, reply any) error {
	res, err := c.send(ctx, node, c.admin(http.MethodGet, path, nil))
	if err != nil {
		return err
	}
	return decodeReply(node, http.MethodGet, res, reply)
}

// getAny reads JSON from the first node that responds.
func (c *client) getAny(ctx context.Context, path string, reply any) error {
	if len(c.nodes) == 0 {
		return noNodesError()
	}
	var last error
	for _, node := range c.nodes {
		last = c.get(ctx, node, path, reply)
		if last == nil || !canTryNextNode(last) {
			return last
		}
	}
	return allNodesFailed(len(c.nodes), last)
}

// canTryNextNode reports whether another node may succeed after this error.
func canTryNextNode(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnavailable, model.KindStale, model.KindExhausted, model.KindUnknown, "":
		return true
	}
	return false
}

// noNodesError returns the error of a client without node addresses.
func noNodesError() error {
	return model.Errorf(model.KindInvalid, "set --node or VPIER_NODES", "no node is given")
}

// allNodesFailed returns the error of a request that count nodes failed; last is the
// error of the last one.
func allNodesFailed(count int, last error) error {
	if count == 1 {
		return last
	}
	return model.Wrap(model.KindUnavailable, last, "check the nodes and the network", "none of %d nodes could answer; the last", count)
}

// admin returns a request to the admin API.
func (c *client) admin(method, path string, body []byte) request {
	header := http.Header{"Accept": {"application/json"}}
	if c.token != "" {
		header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	return request{method: method, path: adminapi.Prefix + path, header: header, body: body}
}

// decodeReply decodes a 200 response or returns the node's error.
func decodeReply(node, method string, res response, reply any) error {
	if res.status != http.StatusOK {
		return replyError(node, fallbackKind(method, res.status), res)
	}
	if err := json.Unmarshal(res.body, reply); err != nil {
		return model.Wrap(fallbackKind(method, res.status), err, "check that the address is that of a node and that versions match", "%s sent something else than JSON", node)
	}
	return nil
}

// replyError converts an error response into an error of the kind in its body, or of
// the kind fallback when the body has none.
func replyError(node string, fallback model.Kind, res response) error {
	var reply adminapi.ErrorReply
	if err := json.Unmarshal(res.body, &reply); err != nil || reply.Kind == "" {
		return model.Errorf(fallback, "check that the address is that of a node", "%s answered with HTTP status %d", node, res.status)
	}
	if len(reply.ValidationErrors) > 0 {
		return declaration.ValidationErrors(reply.ValidationErrors)
	}
	return model.Errorf(reply.Kind, reply.Remedy, "%s", reply.Message)
}

// fallbackKind returns the error kind of a response without one, such as that of a
// load balancer. A write may have reached a node.
func fallbackKind(method string, status int) model.Kind {
	refused := status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
	if method == http.MethodGet || refused {
		return model.KindUnavailable
	}
	return model.KindUnknown
}

// isConclusive reports whether a result is final, so that no further node is tried.
// lost is the error of an earlier attempt with an unknown result, or nil. After such
// an attempt only a result that accounts for the lost request is final: a success, or
// a conflict after the node has looked for the request. Any other error, such as that
// of a node with a different operators file, says nothing about the lost request.
func isConclusive(err, lost error) bool {
	if err == nil || lost == nil {
		return err == nil || !canTryNextNode(err)
	}
	return model.IsKind(err, model.KindConflict)
}

// randomID returns 128 random bits as hexadecimal digits.
func randomID() string {
	var id [16]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
