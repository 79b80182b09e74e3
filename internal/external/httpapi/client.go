// Package httpapi implements the interfaces of package platform over HTTP. It is
// the only package that knows the platform's wire format, which
// docs/platform-protocol.md describes.
//
// Errors are *model.Error. A write whose request body was never handed to the
// network is KindUnavailable; any other broken write is KindUnknown. Writes and
// worker commands are sent at most once: a client never repeats them.
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

// Limits of response bodies, in bytes. A response above its limit is an error
// and is not read further.
const (
	// MaxTableResponse bounds the answer to a row or range read.
	MaxTableResponse = 32 << 20
	// MaxObjectSize bounds an object.
	MaxObjectSize = 256 << 20
	// MaxHostListResponse bounds the host list; an entry takes about 250 bytes,
	// so this holds more than 100,000 hosts.
	MaxHostListResponse = 64 << 20
	// MaxReportSize bounds a worker's report.
	MaxReportSize = 4 << 20
	// maxErrorBody bounds the part of an error response that is read.
	maxErrorBody = 16 << 10
)

// Connection settings of the default client.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the usual idle limit of servers (60 s or more), so
	// that a reused connection is rarely one that the server has just closed.
	idleTimeout     = 30 * time.Second
	idlePerHost     = 8
	headerSizeLimit = 64 << 10
)

// errBodyWithdrawn stops a transport that reads the body of a request after the
// request was classified as not sent.
var errBodyWithdrawn = errors.New("request withdrawn before it was sent")

// errBodyRepeated stops a transport that tries to send a request again.
var errBodyRepeated = errors.New("request must not be sent twice")

// endpoint sends requests to one base URL.
type endpoint struct {
	base   string
	name   string
	client *http.Client
}

// newEndpoint returns an endpoint. A nil client selects the default client; a
// given client is copied, because redirects are disabled on the copy.
func newEndpoint(name, base string, client *http.Client) endpoint {
	c := http.Client{Transport: defaultTransport()}
	if client != nil {
		c = *client
	}
	// A redirect would repeat a write at another address.
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

// read sends a GET request and returns the response body of at most limit bytes.
// Every failure except a refusal by the service is KindUnavailable.
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
	// GetBody stays nil: with it, net/http repeats a request whose reused
	// connection broke, although its body may have reached the server.
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

// writeError classifies a write that got no response. The service does not act
// on an incomplete body, so a body that was never read had no effect.
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

// decode parses a response. A response that does not parse is of the given kind.
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

// statusKinds maps statuses by which the service states that it refused the
// request and changed nothing. Other statuses tell nothing about the effect.
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

// statusError converts an error response; fallback is the kind of a status that
// does not state whether the request took effect.
func (e endpoint) statusError(resp *http.Response, fallback model.Kind) error {
	kind, ok := statusKinds[resp.StatusCode]
	if !ok {
		kind = fallback
	}
	body := ErrorBody{Message: resp.Status}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err == nil {
		_ = json.Unmarshal(data, &body) // a proxy's error page is not JSON; the status suffices
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

// closeBody reads a short rest, so that the connection can be reused.
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

// onceBody is a request body that can be sent once. A transport keeps reading a
// body after it has returned an error to its caller, so reading and withdrawing
// exclude each other.
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

// Close ends the only use of the body.
func (b *onceBody) Close() error {
	b.closed.Store(true)
	return nil
}

// withdraw reports whether no byte was read; from then on none can be.
func (b *onceBody) withdraw() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}
