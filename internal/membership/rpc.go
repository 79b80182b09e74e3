package membership

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Handler executes a request of a peer. Its result is encoded as JSON; an error
// that is a *model.Error reaches the peer with kind, message and remedy.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed turns a function with parameters of type P into a Handler. Parameters that
// cannot be decoded are KindInvalid.
func Typed[P any](f func(context.Context, P) (any, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "upgrade the older node", "parameters of a peer's call")
		}
		return f(ctx, params)
	}
}

const (
	// handlerTimeout bounds the execution of a peer's request.
	handlerTimeout = 10 * time.Second
	// writeTimeout bounds one write to a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// maxTimeouts is the number of calls in a row without an answer after which a
	// connection is given up: it may be half open, and the JSON-RPC library keeps
	// an entry for each unanswered call as long as the connection lives.
	maxTimeouts = 3
	// linkIdle is how long an unused connection to an address of no member stays.
	linkIdle = time.Minute
	// errorCode is the JSON-RPC code of an error that carries a model error.
	errorCode = -32000
)

// codec frames messages with a varint length and refuses long ones before
// reading them.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit int
}

// ReadObject reads one message.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > uint64(c.limit) {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", n, c.limit)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// conn bounds each write in time and counts bytes.
type conn struct {
	net.Conn
	s *Service
}

// Read counts the bytes received.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.s.metrics.received.Add(float64(n))
	return n, err
}

// Write fails when the peer does not read for the write timeout.
func (c conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.s.metrics.sent.Add(float64(n))
	if err != nil {
		// After part of a message the peer would read the next one wrongly.
		_ = c.Close()
	}
	return n, err
}

// link is the connection to one peer address.
type link struct {
	dial chan struct{} // holds a value while a caller dials

	mu       sync.Mutex
	rpc      *jsonrpc2.Conn
	used     time.Time
	timeouts int
}

// open returns the connection if it is usable.
func (l *link) open() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
	if l.rpc == nil || disconnected(l.rpc) {
		return nil
	}
	return l.rpc
}

func (l *link) set(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rpc, l.timeouts = rpc, 0
}

func (l *link) idle(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.used) > d
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != nil {
		rpc := l.rpc
		go func() { _ = rpc.Close() }() // may wait for a write in progress
		l.rpc = nil
	}
}

// errorData carries a model error in a JSON-RPC error.
type errorData struct {
	Kind    model.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy,omitempty"`
}

// Call sends a request to the node at addr and decodes its result. KindUnavailable
// means that nothing was sent, KindUnknown that the request may have been
// executed; errors of the peer's handler keep their kind. A call is never repeated.
func (s *Service) Call(ctx context.Context, addr, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.CallTimeout)
		defer cancel()
	}
	l := s.link(addr)
	rpc, err := s.connect(ctx, l, addr)
	if err != nil {
		return model.Wrap(model.KindUnavailable, err, "retry later; nothing was sent", "connect to %s", addr)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "pass values that encode as JSON", "parameters of %s", method)
	}
	if len(raw) > s.cfg.MessageLimit-1024 { // room for the envelope
		return model.Errorf(model.KindInvalid, "send less at once", "%s: %d bytes exceed the message limit", method, len(raw))
	}
	var answer json.RawMessage
	err = rpc.Call(ctx, method, (*json.RawMessage)(&raw), &answer)
	s.settle(l, rpc, err)
	if err != nil {
		return callError(err, addr, method)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return model.Wrap(model.KindUnknown, err, "check that both nodes run compatible versions", "result of %s from %s", method, addr)
	}
	return nil
}

func (s *Service) link(addr string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[addr]
	if l == nil {
		l = &link{dial: make(chan struct{}, 1), used: time.Now()}
		s.links[addr] = l
	}
	return l
}

// connect returns the open connection of l, or opens one. Only one caller dials;
// the others wait for its result.
func (s *Service) connect(ctx context.Context, l *link, addr string) (*jsonrpc2.Conn, error) {
	if rpc := l.open(); rpc != nil {
		return rpc, nil
	}
	select {
	case l.dial <- struct{}{}:
		defer func() { <-l.dial }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if rpc := l.open(); rpc != nil {
		return rpc, nil
	}
	c, err := s.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	rpc, err := s.open(c)
	if err != nil {
		return nil, err
	}
	l.set(rpc)
	return rpc, nil
}

// dial opens a connection and, unless plaintext is set, its TLS.
func (s *Service) dial(ctx context.Context, addr string) (net.Conn, error) {
	raw, err := s.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := conn{raw, s}
	if s.keys == nil {
		return c, nil
	}
	secure := tls.Client(c, s.keys.client())
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return secure, nil
}

func disconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

// settle counts calls without an answer and gives a silent connection up.
func (s *Service) settle(l *link, rpc *jsonrpc2.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != rpc {
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		l.timeouts = 0
		return
	}
	if l.timeouts++; l.timeouts >= maxTimeouts {
		l.rpc = nil
		go func() { _ = rpc.Close() }() // may wait for a write in progress
	}
}

// callError converts the error of a request that was handed to the connection.
func callError(err error, addr, method string) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return model.Wrap(model.KindUnknown, err, "find out whether the request was executed", "%s to %s", method, addr)
	}
	var data errorData
	if remote.Data != nil && json.Unmarshal(*remote.Data, &data) == nil && data.Kind != "" {
		return model.Errorf(data.Kind, data.Remedy, "%s", data.Message)
	}
	if remote.Code == jsonrpc2.CodeMethodNotFound {
		return model.Errorf(model.KindInvalid, "run compatible versions", "%s does not know %s", addr, method)
	}
	return model.Wrap(model.KindUnknown, err, "see the peer's log", "%s at %s", method, addr)
}

// open starts JSON-RPC on a connection. The service closes it when it ends.
func (s *Service) open(c net.Conn) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.Join(model.Errorf(model.KindUnavailable, "start the node", "node is stopping"), c.Close())
	}
	stream := jsonrpc2.NewBufferedStream(c, codec{limit: s.cfg.MessageLimit})
	rpc := jsonrpc2.NewConn(context.Background(), stream, rpcHandler{s}, jsonrpc2.SetLogger(rpcLog{s}))
	s.conns[rpc] = struct{}{}
	s.closing.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, rpc)
	})
	return rpc, nil
}

// rpcLog passes messages of the JSON-RPC library to the log.
type rpcLog struct{ s *Service }

// Printf logs a protocol error, such as a malformed or oversize message.
func (l rpcLog) Printf(format string, v ...any) {
	l.s.metrics.protocolErrors.Inc()
	l.s.cfg.Log.Debugf(format, v...)
}

// Handle registers the handler of a method. It must be called before Run.
func (s *Service) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

var errorBusy = model.Errorf(model.KindExhausted, "retry later", "node handles too many requests or is stopping")

// serve executes a request in one of a bounded number of goroutines. It runs on
// the goroutine that reads from the connection; a refusal is written there too,
// so that a peer that floods the node has to wait.
func (s *Service) serve(rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if e := s.begin(rpc, req); e != nil && !req.Notif {
		_ = rpc.ReplyWithError(s.base, req.ID, e) // fails when the connection is gone
	}
}

// begin starts the execution of a request, or returns the reason of refusal.
func (s *Service) begin(rpc *jsonrpc2.Conn, req *jsonrpc2.Request) *jsonrpc2.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handlers[req.Method]
	switch {
	case h == nil:
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	case s.closed || len(s.slots) == cap(s.slots):
		return rpcError(errorBusy)
	}
	s.slots <- struct{}{} // has room: only begin adds, under the lock
	s.closing.Go(func() {
		defer func() { <-s.slots }()
		s.execute(rpc, req, h)
	})
	return nil
}

func (s *Service) execute(rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler) {
	ctx, cancel := context.WithTimeout(s.base, handlerTimeout)
	defer cancel()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h(ctx, params)
	if req.Notif {
		return
	}
	// A failed reply means that the connection is gone; the caller sees that.
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, rpcError(err))
		return
	}
	if err := rpc.Reply(ctx, req.ID, result); err != nil && !disconnected(rpc) {
		_ = rpc.ReplyWithError(ctx, req.ID, rpcError(err))
	}
}

func rpcError(err error) *jsonrpc2.Error {
	data := errorData{Kind: model.KindOf(err), Message: err.Error()}
	var e *model.Error
	if errors.As(err, &e) {
		data.Message, data.Remedy = e.Message, e.Remedy
		if e.Err != nil {
			data.Message = fmt.Sprintf("%s: %v", e.Message, e.Err)
		}
	}
	out := &jsonrpc2.Error{Code: errorCode, Message: data.Message}
	out.SetError(data)
	return out
}
