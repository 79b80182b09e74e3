// Package httpapi implements HTTP clients for the interfaces of package external. Only
// this package knows the wire format, which docs/platform-protocol.md describes.
//
// Errors are *model.Error. A failed write is KindUnavailable when the transport never read
// its request body, and KindUnknown when its effect is not known. Writes and worker
// commands are sent at most once: a client never retries them.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Size limits of response bodies, in bytes. Reading stops with an error at the limit.
const (
	// MaxTableResponse bounds the response to a row or range read.
	MaxTableResponse = 32 << 20
	// MaxObjectSize bounds an object.
	MaxObjectSize = 256 << 20
	// MaxHostListResponse bounds the host list. An entry has about 250 bytes, so this is
	// enough for more than 100,000 hosts.
	MaxHostListResponse = 64 << 20
	// MaxReportSize bounds a worker's report.
	MaxReportSize = 4 << 20
	// maxErrorBody bounds the part of an error response that is read.
	maxErrorBody = 16 << 10
)

// Connection settings of the default client.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the usual idle timeout of servers (60 s or more), so that the
	// client rarely reuses a connection that the server has just closed.
	idleTimeout     = 30 * time.Second
	idlePerHost     = 8
	headerSizeLimit = 64 << 10
)

// errBodyWithdrawn is returned to a transport that reads the body of a request after the
// request was reported as not sent.
var errBodyWithdrawn = errors.New("request withdrawn before it was sent")

// errBodyRepeated is returned to a transport that tries to send a request again.
var errBodyRepeated = errors.New("request must not be sent twice")

// endpoint sends requests to one base URL.
type endpoint struct {
	base   string
	name   string
	client *http.Client
}

// newEndpoint returns an endpoint. A nil client selects the default client. The client is
// copied, because redirects are disabled on the copy.
func newEndpoint(name, base string, client *http.Client) endpoint {
	c := http.Client{Transport: defaultTransport()}
	if client != nil {
		c = *client
	}
	// Following a redirect would repeat a write at another address.
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return endpoint{base: strings.TrimRight(base, "/"), name: name, client: &c}
}

func defaultTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerSizeLimit,
		DisableCompression:     true,
	}
}

// read sends a GET request and returns the response body of at most limit bytes. The error
// has the kind of the service's error response, KindExhausted for a response above the
// limit, and KindUnavailable for other failures.
func (e endpoint) read(ctx context.Context, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return nil, e.invalid(err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, e.unavailable(err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, e.statusError(resp, model.KindUnavailable)
	}
	data, err := readLimited(resp, limit)
	if errors.Is(err, errTooLarge) {
		return nil, model.Wrap(model.KindExhausted, err, "read less at once or raise the limit in httpapi", "%s answered", e.name)
	}
	if err != nil {
		return nil, e.unavailable(err)
	}
	return data, nil
}

// write sends body once and returns the response body of at most limit bytes.
func (e endpoint) write(ctx context.Context, method, path, contentType string, body []byte, limit int64) ([]byte, error) {
	once := &onceBody{r: bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, nil)
	if err != nil {
		return nil, e.invalid(err)
	}
	// With GetBody, net/http would repeat a request whose reused connection broke, although
	// its body may have reached the server.
	req.Body, req.GetBody, req.ContentLength = once, nil, int64(len(body))
	req.Header.Set("Content-Type", contentType)
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, e.writeError(err, once, len(body))
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		return nil, e.statusError(resp, model.KindUnknown)
	}
	data, err := readLimited(resp, limit)
	if err != nil {
		return nil, e.unknown(err)
	}
	return data, nil
}

// writeError classifies the error of a write without a response. The service does not act
// on an incomplete body, so a write whose body was never read had no effect.
func (e endpoint) writeError(err error, body *onceBody, size int) error {
	if size > 0 && body.withdraw() {
		return e.unavailable(err)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return e.unavailable(err)
	}
	return e.unknown(err)
}

// writeJSON sends in as JSON.
func (e endpoint) writeJSON(ctx context.Context, path string, in any, limit int64) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, e.invalid(err)
	}
	return e.write(ctx, http.MethodPost, path, contentJSON, body, limit)
}

func (e endpoint) invalid(err error) error {
	return model.Wrap(model.KindInvalid, err, "check the request and the address in the settings", "%s request", e.name)
}

func (e endpoint) unavailable(err error) error {
	return model.Wrap(model.KindUnavailable, err, "retry later; nothing was changed", "%s unavailable", e.name)
}

func (e endpoint) unknown(err error) error {
	return model.Wrap(model.KindUnknown, err, "read the state back before trying again", "%s gave no usable answer to a write", e.name)
}

// decode parses a response. The error of an invalid response has the given kind.
func (e endpoint) decode(data []byte, out any, kind model.Kind) error {
	if err := json.Unmarshal(data, out); err != nil {
		return model.Wrap(kind, err, "check that the address belongs to the service and its protocol version matches", "%s answer", e.name)
	}
	return nil
}

// ErrorBody is the JSON body of a response that reports an error.
type ErrorBody struct {
	Kind    model.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy,omitempty"`
}

// statusKinds maps the status codes which mean that the service rejected the request and
// changed nothing. Other status codes do not state the effect.
var statusKinds = map[int]model.Kind{
	http.StatusBadRequest:            model.KindInvalid,
	http.StatusUnauthorized:          model.KindDenied,
	http.StatusForbidden:             model.KindDenied,
	http.StatusNotFound:              model.KindNotFound,
	http.StatusConflict:              model.KindConflict,
	http.StatusPreconditionFailed:    model.KindFenced,
	http.StatusRequestEntityTooLarge: model.KindInvalid,
	http.StatusTooManyRequests:       model.KindUnavailable,
	http.StatusServiceUnavailable:    model.KindUnavailable,
}

// statusError converts an error response. fallback is the kind for status codes that do
// not state whether the request took effect.
func (e endpoint) statusError(resp *http.Response, fallback model.Kind) error {
	kind, ok := statusKinds[resp.StatusCode]
	if !ok {
		kind = fallback
	}
	body := ErrorBody{Message: resp.Status}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err == nil {
		_ = json.Unmarshal(data, &body) // a proxy's error page is not JSON; the status code is enough
	}
	if body.Remedy == "" {
		body.Remedy = remedies[kind]
	}
	return model.Errorf(kind, body.Remedy, "%s: %s", e.name, body.Message)
}

var remedies = map[model.Kind]string{
	model.KindInvalid:     "correct the request",
	model.KindDenied:      "check the credentials in the settings",
	model.KindNotFound:    "check the name",
	model.KindConflict:    "read the current state and decide again",
	model.KindFenced:      "stop acting for the cell; a newer owner has taken over",
	model.KindUnavailable: "retry later; nothing was changed",
	model.KindUnknown:     "read the state back before trying again",
}

var errTooLarge = errors.New("response exceeds the size limit")

func readLimited(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errTooLarge, resp.ContentLength, limit)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: limit %d", errTooLarge, limit)
	}
	return data, nil
}

// closeBody reads up to maxErrorBody of the remaining body, so that the connection can be
// reused, and closes it.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
	_ = resp.Body.Close()
}

// States of onceBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyWithdrawn
)

// onceBody is a request body that can be sent only once. A transport may still read a body
// after it has returned an error to its caller, so the state makes reading and withdrawing
// mutually exclusive.
type onceBody struct {
	r      *bytes.Reader
	state  atomic.Int32
	closed atomic.Bool
}

// Read returns the next bytes unless the body was withdrawn.
func (b *onceBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyWithdrawn {
		return 0, errBodyWithdrawn
	}
	if b.closed.Load() {
		return 0, errBodyRepeated
	}
	return b.r.Read(p)
}

// Close prevents further reads.
func (b *onceBody) Close() error {
	b.closed.Store(true)
	return nil
}

// withdraw reports whether nothing was read from the body, and prevents later reads if so.
func (b *onceBody) withdraw() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}
