package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"hash"
	"io"
	"net/http"
	"strings"

	"github.com/vanillapier/vanillapier/internal/routing"
)

const (
	headerContentDigest = "Content-Digest"
	headerDigest        = "Digest"
	// copyBufferSize is the size of the buffers for streaming a long response.
	copyBufferSize = 32 << 10
)

var (
	errDigest = errors.New("response body does not match its digest")
	errLength = errors.New("response body does not match its length")
)

// bodyStream reads a runner's response, verifies length and digest, and releases the slot
// once.
type bodyStream struct {
	resp   *http.Response
	body   io.Reader
	sum    hash.Hash
	read   int64
	limit  int64
	grant  *grant
	cancel context.CancelFunc
}

// newBodyStream wraps resp. Reads fail after more than limit bytes.
func newBodyStream(resp *http.Response, method string, limit int64, g *grant, cancel context.CancelFunc) *bodyStream {
	s := &bodyStream{resp: resp, body: resp.Body, limit: limit, grant: g, cancel: cancel}
	if mayHaveBody(method, resp.StatusCode) && s.mayHaveDigest() {
		s.sum = sha256.New()
	}
	return s
}

// mayHaveDigest reports whether a digest header is present or a digest trailer is announced.
func (s *bodyStream) mayHaveDigest() bool {
	for _, h := range []http.Header{s.resp.Header, s.resp.Trailer} {
		for _, name := range []string{headerContentDigest, headerDigest} {
			if _, ok := h[name]; ok {
				return true
			}
		}
	}
	return false
}

// Read reads the body and verifies it at its end.
func (s *bodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.read += int64(n)
	if s.sum != nil {
		s.sum.Write(p[:n])
	}
	if s.read > s.limit {
		return n, errBodyTooLarge
	}
	if err == io.EOF {
		if bad := s.verify(); bad != nil {
			return n, bad
		}
	}
	return n, err
}

// verify checks a complete body against the declared length and digest.
func (s *bodyStream) verify() error {
	if s.resp.ContentLength >= 0 && s.read != s.resp.ContentLength && s.resp.Request.Method != http.MethodHead {
		return errLength
	}
	if s.sum == nil {
		return nil
	}
	got := s.sum.Sum(nil)
	for _, h := range []http.Header{s.resp.Header, s.resp.Trailer} {
		if want, ok := parseSHA256(h); ok && !bytes.Equal(want, got) {
			return errDigest
		}
	}
	return nil
}

// parseSHA256 returns the SHA-256 digest in h, from Content-Digest (RFC 9530) or the
// older Digest header.
func parseSHA256(h http.Header) ([]byte, bool) {
	for _, name := range []string{headerContentDigest, headerDigest} {
		for _, line := range h.Values(name) {
			for part := range strings.SplitSeq(line, ",") {
				alg, value, _ := strings.Cut(strings.TrimSpace(part), "=")
				if !strings.EqualFold(alg, "sha-256") {
					continue
				}
				sum, err := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
				if err != nil {
					sum = nil // a malformed digest matches nothing
				}
				return sum, true
			}
		}
	}
	return nil, false
}

// readUpTo reads at most n bytes into memory reserved in m. whole is true when the body ended
// within them and passed its checks.
func (s *bodyStream) readUpTo(m *bodyMemory, n int64) (body []byte, release func(), whole bool, err error) {
	var reserved int64
	release = func() { m.release(reserved); reserved = 0 }
	var buf bytes.Buffer
	if size := s.resp.ContentLength; size > 0 {
		size = min(size, n)
		if !m.reserve(size) {
			return nil, nil, false, errNoMemory
		}
		reserved = size
		buf.Grow(int(size) + bytes.MinRead)
	}
	if s.resp.ContentLength > s.limit {
		release()
		return nil, nil, false, errBodyTooLarge
	}
	in := &reservingReader{r: io.LimitReader(s, n), m: m, reserved: &reserved}
	if _, err = buf.ReadFrom(in); err != nil {
		release()
		return nil, nil, false, err
	}
	if int64(buf.Len()) < n {
		return buf.Bytes(), release, true, nil
	}
	whole, err = s.atEnd()
	if err != nil {
		release()
		return nil, nil, false, err
	}
	return buf.Bytes(), release, whole, nil
}

// atEnd reports whether the body has ended. It reads one byte to find out and puts it back.
func (s *bodyStream) atEnd() (bool, error) {
	var one [1]byte
	n, err := io.ReadFull(s.body, one[:])
	if err == io.EOF {
		return true, s.verify()
	}
	if err != nil {
		return false, err
	}
	s.body = io.MultiReader(bytes.NewReader(one[:n]), s.resp.Body)
	return false, nil
}

// copyTo copies the rest of the body to w. The last chunk is held back until the end has been
// verified, so that a body with a wrong digest is truncated.
func (s *bodyStream) copyTo(w io.Writer) error {
	var bufs [2][]byte
	bufs[0], bufs[1] = make([]byte, copyBufferSize), make([]byte, copyBufferSize)
	pending := []byte(nil)
	for i := 0; ; i++ {
		buf := bufs[i%2]
		n, err := s.Read(buf)
		if n > 0 {
			if _, werr := w.Write(pending); werr != nil {
				return werr
			}
			pending = buf[:n]
		}
		if err == io.EOF {
			_, werr := w.Write(pending)
			return werr
		}
		if err != nil {
			return err
		}
		if n == 0 {
			i--
		}
	}
}

// announceTrailers declares the trailers that will follow a streamed response.
func (s *bodyStream) announceTrailers(h http.Header) {
	for name := range s.resp.Trailer {
		h.Add("Trailer", name)
	}
}

// copyTrailers copies the trailers that followed the body.
func (s *bodyStream) copyTrailers(h http.Header) {
	for name, values := range s.resp.Trailer {
		h[name] = values
	}
}

// copyDigest copies a digest trailer into the header once the body is complete.
func (s *bodyStream) copyDigest(h http.Header) {
	for _, name := range []string{headerContentDigest, headerDigest} {
		if v := s.resp.Trailer.Get(name); v != "" {
			h.Set(name, v)
		}
	}
}

// finish closes the body and releases the slot. Later calls have no effect.
func (s *bodyStream) finish(result routing.Result) {
	if result != routing.Success {
		s.cancel() // closes the connection, so that a hanging body does not block Close
	}
	_ = s.resp.Body.Close()
	s.cancel()
	s.grant.finish(result)
}
