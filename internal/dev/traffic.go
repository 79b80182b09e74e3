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
	// defaultTimeout applies to requests whose event states none.
	defaultTimeout = 2 * time.Second
	// clientSlack is how long a caller waits beyond the stated timeout.
	clientSlack = 2 * time.Second
	// histogram range in microseconds and its precision in digits.
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// tally counts what callers saw. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	proofs  int
	// answered and refused count proofs; wrong counts answers that were not the
	// caller's own or not whole.
	answered, refused, wrong int
	// cuts holds the node of each request that was cut.
	cuts    []string
	reasons map[string]int
	prints  map[string]*printResult
}

// printResult is what the callers of one non-idempotent request saw.
type printResult struct {
	sent    int
	done    int
	notRun  int
	unknown int
}

func newTally() *tally {
	return &tally{
		latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		reasons: map[string]int{}, prints: map[string]*printResult{},
	}
}

// callers sends the trace's requests.
type callers struct {
	balancer *balancer
	tally    *tally
	pending  sync.WaitGroup
}

// reply is the end of one request as its caller saw it.
type reply struct {
	status  int
	outcome model.Outcome
	body    []byte
	kind    string
}

// cutError is a connection that ended without a whole answer.
type cutError struct {
	// addr is the node that the request was sent to.
	addr string
	err  error
}

// Error returns the cause.
func (e *cutError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *cutError) Unwrap() error { return e.err }

// errNoNode means that no node was ready.
var errNoNode = errors.New("no node is ready")

// send makes one request through the balancer and reads the whole answer.
func (c *callers) send(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	addr, ok := c.balancer.pick()
	if !ok {
		return reply{}, errNoNode
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header = header
	resp, err := c.balancer.client.Do(req)
	if err != nil {
		return reply{}, &cutError{addr, err}
	}
	defer func() { _ = resp.Body.Close() }() // a read error is reported below
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, &cutError{addr, err}
	}
	r := reply{status: resp.StatusCode, outcome: model.Outcome(resp.Header.Get("Vpier-Outcome")), body: answer}
	if r.status >= http.StatusBadRequest {
		var refusal struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(answer, &refusal) // an answer of another form has no kind
		r.kind = refusal.Kind
	}
	return r, nil
}

// payload returns a body that belongs to one request only.
func payload(id string, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(size), uint64(len(id))))
	body := make([]byte, 0, size+len(id))
	body = append(body, id...)
	for len(body) < size {
		body = append(body, byte('a'+rng.IntN(26)))
	}
	return body
}

// proof sends an interactive request.
func (c *callers) proof(ctx context.Context, n int, p Proof) {
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
		ctx, cancel := context.WithTimeout(ctx, timeout+clientSlack)
		defer cancel()
		path := "/v1/services/" + string(p.Service) + "/proof"
		begun := time.Now()
		r, err := c.send(ctx, http.MethodPost, path, header.Clone(), body)
		if err != nil {
			// As docs/callers.md advises, a caller repeats an idempotent request once
			// when its connection is cut.
			c.tally.noteCut(err)
			r, err = c.send(ctx, http.MethodPost, path, header, body)
		}
		c.tally.proof(r, err, time.Since(begun), body)
	})
}

func (t *tally) proof(r reply, err error, took time.Duration, sent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proofs++
	switch {
	case err != nil:
		t.reasons[fmt.Sprintf("cut twice: %v", shortError(err))]++
	case r.status == http.StatusOK && bytes.Equal(r.body, sent):
		t.answered++
		_ = t.latency.RecordValue(took.Microseconds()) // a value beyond the range counts as answered
	case r.status == http.StatusOK:
		t.wrong++
	default:
		t.refused++
		t.reasons[fmt.Sprintf("%d %s %s", r.status, r.outcome, r.kind)]++
	}
}

// noteCut counts a proof whose connection ended without an answer.
func (t *tally) noteCut(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cut *cutError
	if errors.As(err, &cut) {
		t.cuts = append(t.cuts, cut.addr)
	}
	t.reasons["cut once: "+shortError(err)]++
}

// shortError drops addresses, so that equal errors are counted together.
func shortError(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// print sends a request that must be executed at most once, as its caller
// retries it: a refusal "not-run" is followed by the same key, an unknown
// outcome is asked about with the same key.
func (c *callers) print(ctx context.Context, n int, p Print) {
	key := fmt.Sprintf("print-%d", n)
	body := payload(key, p.Bytes)
	copies := 1
	if p.Twice {
		copies = 2
	}
	c.tally.register(key)
	for range copies {
		c.pending.Go(func() { c.printUntilKnown(ctx, key, body, p) })
	}
}

const (
	// printTries bounds the requests of one caller with one key.
	printTries = 6
	// printRetry is the wait between them; callers honour Retry-After in seconds,
	// which is too coarse for a short run.
	printRetry = 700 * time.Millisecond
)

func (c *callers) printUntilKnown(ctx context.Context, key string, body []byte, p Print) {
	header := http.Header{
		"Vpier-Idempotent": {"false"},
		"Idempotency-Key":  {key},
		"Vpier-Timeout-Ms": {fmt.Sprint(defaultTimeout.Milliseconds())},
	}
	for try := range printTries {
		header.Del("Vpier-Attempt")
		if try == 0 && !p.Twice {
			header.Set("Vpier-Attempt", "1") // only then a refusal can be a proof in a store outage
		}
		call, cancel := context.WithTimeout(ctx, defaultTimeout+clientSlack)
		r, err := c.send(call, http.MethodPost, "/v1/services/"+string(p.Service)+"/print", header.Clone(), body)
		cancel()
		c.tally.print(key, r, err, body)
		if err == nil && r.outcome == model.OutcomeDone {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(printRetry):
		}
	}
}

func (t *tally) register(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prints[key] = &printResult{}
}

func (t *tally) print(key string, r reply, err error, sent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.prints[key]
	p.sent++
	var cut *cutError
	if errors.As(err, &cut) {
		t.cuts = append(t.cuts, cut.addr)
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
