package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// defaultTimeout applies to requests whose event has no timeout.
	defaultTimeout = 2 * time.Second
	// clientTimeoutMargin is added to the request's timeout to get the HTTP client's.
	clientTimeoutMargin = 2 * time.Second
	// histogramMax is the range of the histogram in microseconds, histogramDigits its
	// precision in significant digits.
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// callerStats collects the results that callers got. It is safe for concurrent use.
type callerStats struct {
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	idempotent int
	// answered and refused count idempotent requests by result. wrong counts all responses
	// that were incomplete or belonged to another request.
	answered, refused, wrong int
	// brokenNodes holds the node address of each request whose connection broke.
	brokenNodes   []string
	reasons       map[string]int
	nonIdempotent map[string]*nonIdempotentResult
}

// nonIdempotentResult counts the results that callers got for one idempotency key.
type nonIdempotentResult struct {
	sent    int
	done    int
	notRun  int
	unknown int
}

func newCallerStats() *callerStats {
	return &callerStats{
		latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		reasons: map[string]int{}, nonIdempotent: map[string]*nonIdempotentResult{},
	}
}

// callers sends the trace's requests.
type callers struct {
	balancer *balancer
	stats    *callerStats
	pending  sync.WaitGroup
}

// response is the response to a request.
type response struct {
	status  int
	outcome model.Outcome
	body    []byte
	kind    string
}

// brokenConnectionError reports a connection that broke before the complete response.
type brokenConnectionError struct {
	// addr is the node that the request was sent to.
	addr string
	err  error
}

// Error returns the cause.
func (e *brokenConnectionError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *brokenConnectionError) Unwrap() error { return e.err }

// errNoNode means that no node was ready.
var errNoNode = errors.New("no node is ready")

// send sends one request through the balancer and reads the complete response.
func (c *callers) send(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	addr, ok := c.balancer.pick()
	if !ok {
		return response{}, errNoNode
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header = header
	resp, err := c.balancer.client.Do(req)
	if err != nil {
		return response{}, &brokenConnectionError{addr, err}
	}
	defer func() { _ = resp.Body.Close() }() // read errors are reported by ReadAll
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, &brokenConnectionError{addr, err}
	}
	r := response{status: resp.StatusCode, outcome: model.Outcome(resp.Header.Get("Vpier-Outcome")), body: answer}
	if r.status >= http.StatusBadRequest {
		var refusal struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(answer, &refusal) // a response of another format has no kind
		r.kind = refusal.Kind
	}
	return r, nil
}

// payload returns a body that is unique to the request with this id.
func payload(id string, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(size), uint64(len(id))))
	body := make([]byte, 0, size+len(id))
	body = append(body, id...)
	for len(body) < size {
		body = append(body, byte('a'+rng.IntN(26)))
	}
	return body
}

// sendIdempotent sends an idempotent request and records its result.
func (c *callers) sendIdempotent(ctx context.Context, n int, p IdempotentRequest) {
	timeout := defaultTimeout
	if p.TimeoutMS > 0 {
		timeout = time.Duration(p.TimeoutMS) * time.Millisecond
	}
	id := fmt.Sprintf("proof-%d", n)
	body := payload(id, p.Bytes)
	header := http.Header{
		"Vpier-Idempotent": {"true"},
		"Vpier-Timeout-Ms": {fmt.Sprint(timeout.Milliseconds())},
	}
	c.pending.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout+clientTimeoutMargin)
		defer cancel()
		path := "/v1/services/" + string(p.Service) + "/proof"
		begun := time.Now()
		r, err := c.send(ctx, http.MethodPost, path, header.Clone(), body)
		if err != nil {
			// As docs/callers.md recommends, a caller retries an idempotent request once when
			// its connection breaks.
			c.stats.recordBrokenConnection(err)
			r, err = c.send(ctx, http.MethodPost, path, header, body)
		}
		c.stats.recordIdempotent(r, err, time.Since(begun), body)
	})
}

func (t *callerStats) recordIdempotent(r response, err error, took time.Duration, sent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idempotent++
	switch {
	case err != nil:
		t.reasons[fmt.Sprintf("cut twice: %v", shortError(err))]++
	case r.status == http.StatusOK && bytes.Equal(r.body, sent):
		t.answered++
		_ = t.latency.RecordValue(took.Microseconds()) // a value above histogramMax is only counted as answered
	case r.status == http.StatusOK:
		t.wrong++
	default:
		t.refused++
		t.reasons[fmt.Sprintf("%d %s %s", r.status, r.outcome, r.kind)]++
	}
}

// recordBrokenConnection records an idempotent request whose connection broke.
func (t *callerStats) recordBrokenConnection(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var broken *brokenConnectionError
	if errors.As(err, &broken) {
		t.brokenNodes = append(t.brokenNodes, broken.addr)
	}
	t.reasons["cut once: "+shortError(err)]++
}

// shortError returns the innermost error, which has no addresses, so that equal errors are
// counted together.
func shortError(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// sendNonIdempotent sends a request that must be executed at most once. The caller retries
// with the same key after the outcome "not-run" and after an unknown outcome.
func (c *callers) sendNonIdempotent(ctx context.Context, n int, p NonIdempotentRequest) {
	key := fmt.Sprintf("print-%d", n)
	body := payload(key, p.Bytes)
	copies := 1
	if p.Twice {
		copies = 2
	}
	c.stats.register(key)
	for range copies {
		c.pending.Go(func() { c.retryUntilKnown(ctx, key, body, p) })
	}
}

const (
	// nonIdempotentTries bounds the attempts of one caller with one key.
	nonIdempotentTries = 6
	// nonIdempotentRetry is the delay between them. Retry-After, which callers normally
	// follow, is in seconds and too coarse for a short run.
	nonIdempotentRetry = 700 * time.Millisecond
)

func (c *callers) retryUntilKnown(ctx context.Context, key string, body []byte, p NonIdempotentRequest) {
	header := http.Header{
		"Vpier-Idempotent": {"false"},
		"Idempotency-Key":  {key},
		"Vpier-Timeout-Ms": {fmt.Sprint(defaultTimeout.Milliseconds())},
	}
	for try := range nonIdempotentTries {
		header.Del("Vpier-Attempt")
		if try == 0 && !p.Twice {
			header.Set("Vpier-Attempt", "1") // only a first attempt can be proven not-run during a store outage
		}
		call, cancel := context.WithTimeout(ctx, defaultTimeout+clientTimeoutMargin)
		r, err := c.send(call, http.MethodPost, "/v1/services/"+string(p.Service)+"/print", header.Clone(), body)
		cancel()
		c.stats.recordNonIdempotent(key, r, err, body)
		if err == nil && r.outcome == model.OutcomeDone {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(nonIdempotentRetry):
		}
	}
}

func (t *callerStats) register(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nonIdempotent[key] = &nonIdempotentResult{}
}

func (t *callerStats) recordNonIdempotent(key string, r response, err error, sent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.nonIdempotent[key]
	p.sent++
	var broken *brokenConnectionError
	if errors.As(err, &broken) {
		t.brokenNodes = append(t.brokenNodes, broken.addr)
	}
	switch {
	case err != nil || r.outcome == model.OutcomeUnknown:
		p.unknown++
	case r.outcome == model.OutcomeDone && r.status == http.StatusOK:
		p.done++
		if !bytes.Equal(r.body, sent) {
			t.wrong++
		}
	case r.outcome == model.OutcomeNotRun:
		p.notRun++
	}
}
