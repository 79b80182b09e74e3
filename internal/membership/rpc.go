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

// Handler executes a request of a peer. Its result is encoded as JSON. An error is sent to the
// peer with the kind, message and remedy of its *model.Error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed converts a function with parameters of type P into a Handler. Parameters that cannot be
// decoded result in a KindInvalid error.
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
	// handlerTimeout limits the execution of a peer's request.
	handlerTimeout = 10 * time.Second
	// writeTimeout limits one write to a connection, in case the peer does not read.
	writeTimeout = 5 * time.Second
	// maxConsecutiveTimeouts is the number of consecutive calls without a reply after which a
	// connection is closed. It may be half open, and the JSON-RPC library keeps an entry for
	// each pending call until the connection is closed.
	maxConsecutiveTimeouts = 3
	// linkIdleTimeout is how long an idle connection to an address of no member is kept.
	linkIdleTimeout = time.Minute
	// errorCode is the JSON-RPC code of an error that contains a model.Error.
	errorCode = -32000
)

// codec frames messages with a varint length. It rejects messages above the limit before it
// reads them.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit int
}

// ReadObject implements jsonrpc2.ObjectCodec.
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

// conn is a connection with a timeout for each write and byte counters.
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

// Write counts the bytes sent. It fails if the peer does not read for writeTimeout.
func (c conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.s.metrics.sent.Add(float64(n))
	if err != nil {
		// A message may have been sent in part, so the peer could not decode the next one.
		_ = c.Close()
	}
	return n, err
}

// link is the connection to one peer address.
type link struct {
	dial chan struct{} // a lock with capacity 1, held while a goroutine dials

	mu       sync.Mutex
	rpc      *jsonrpc2.Conn
	used     time.Time
	timeouts int
}

// current returns the connection, or nil if it is not open.
func (l *link) current() *jsonrpc2.Conn {
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

// errorData is the encoding of a model.Error in a JSON-RPC error.
type errorData struct {
	Kind    model.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy,omitempty"`
}

// Call sends a request to the node at addr and decodes the result. KindUnavailable means that
// nothing was sent, KindUnknown that the request may have been executed. Errors of the peer's
// handler keep their kind. Calls are never retried.
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
	s.recordCallResult(l, rpc, err)
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

// connect returns the open connection of l, or opens one. Only one goroutine dials; the others
// wait for its result.
func (s *Service) connect(ctx context.Context, l *link, addr string) (*jsonrpc2.Conn, error) {
	if rpc := l.current(); rpc != nil {
		return rpc, nil
	}
	select {
	case l.dial <- struct{}{}:
		defer func() { <-l.dial }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if rpc := l.current(); rpc != nil {
		return rpc, nil
	}
	c, err := s.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	rpc, err := s.startRPC(c)
	if err != nil {
		return nil, err
	}
	l.set(rpc)
	return rpc, nil
}

// dial opens a connection, with TLS unless the service uses plaintext.
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

// recordCallResult counts consecutive calls without a reply, and closes the connection after
// maxConsecutiveTimeouts.
func (s *Service) recordCallResult(l *link, rpc *jsonrpc2.Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != rpc {
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		l.timeouts = 0
		return
	}
	if l.timeouts++; l.timeouts >= maxConsecutiveTimeouts {
		l.rpc = nil
		go func() { _ = rpc.Close() }() // may wait for a write in progress
	}
}

// callError converts the error of a request that may have been sent.
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

// startRPC starts JSON-RPC on a connection, which the service closes when Run ends.
func (s *Service) startRPC(c net.Conn) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.Join(model.Errorf(model.KindUnavailable, "start the node", "node is stopping"), c.Close())
	}
	stream := jsonrpc2.NewBufferedStream(c, codec{limit: s.cfg.MessageLimit})
	rpc := jsonrpc2.NewConn(context.Background(), stream, rpcHandler{s}, jsonrpc2.SetLogger(rpcLog{s}))
	s.conns[rpc] = struct{}{}
	s.background.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, rpc)
	})
	return rpc, nil
}

// rpcLog logs messages of the JSON-RPC library.
type rpcLog struct{ s *Service }

// Printf logs a protocol error, such as a malformed message or one above the limit.
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

var errBusy = model.Errorf(model.KindExhausted, "retry later", "node handles too many requests or is stopping")

// serve executes a request in one of a limited number of goroutines. It runs on the goroutine
// that reads from the connection. A rejection is written on that goroutine too, which slows
// down a peer that sends too many requests.
func (s *Service) serve(rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if e := s.startHandler(rpc, req); e != nil && !req.Notif {
		_ = rpc.ReplyWithError(s.baseCtx, req.ID, e) // fails if the connection is closed
	}
}

// startHandler starts the execution of a request, or returns the reason for rejecting it.
func (s *Service) startHandler(rpc *jsonrpc2.Conn, req *jsonrpc2.Request) *jsonrpc2.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handlers[req.Method]
	switch {
	case h == nil:
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	case s.closed || len(s.handlerSlots) == cap(s.handlerSlots):
		return rpcError(errBusy)
	}
	s.handlerSlots <- struct{}{} // does not block: only startHandler sends, with s.mu locked
	s.background.Go(func() {
		defer func() { <-s.handlerSlots }()
		s.execute(rpc, req, h)
	})
	return nil
}

func (s *Service) execute(rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler) {
	ctx, cancel := context.WithTimeout(s.baseCtx, handlerTimeout)
	defer cancel()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h(ctx, params)
	if req.Notif {
		return
	}
	// A failed reply means that the connection is closed, which the caller notices.
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
