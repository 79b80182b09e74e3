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
	// copyBuffer is the size of the pieces in which a long answer is passed on.
	copyBuffer = 32 << 10
)

var (
	errDigest = errors.New("the answer does not match its digest")
	errLength = errors.New("the answer does not match its length")
)

// bodyStream reads a runner's answer, checks length and digest, and gives the
// slot back once.
type bodyStream struct {
	resp   *http.Response
	body   io.Reader
	sum    hash.Hash
	read   int64
	limit  int64
	grant  *grant
	cancel context.CancelFunc
}

// newBodyStream wraps resp. Bodies above limit bytes fail.
func newBodyStream(resp *http.Response, method string, limit int64, g *grant, cancel context.CancelFunc) *bodyStream {
	s := &bodyStream{resp: resp, body: resp.Body, limit: limit, grant: g, cancel: cancel}
	if hasBody(method, resp.StatusCode) && s.mayHaveDigest() {
		s.sum = sha256.New()
	}
	return s
}

// mayHaveDigest reports whether a digest header is present or a trailer announced.
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

// Read reads the body and checks its end.
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

// verify checks a complete body against the announced length and digest.
func (s *bodyStream) verify() error {
	if s.resp.ContentLength >= 0 && s.read != s.resp.ContentLength && s.resp.Request.Method != http.MethodHead {
		return errLength
	}
	if s.sum == nil {
		return nil
	}
	got := s.sum.Sum(nil)
	for _, h := range []http.Header{s.resp.Header, s.resp.Trailer} {
		if want, ok := sha256In(h); ok && !bytes.Equal(want, got) {
			return errDigest
		}
	}
	return nil
}

// sha256In returns the SHA-256 digest in h, from Content-Digest (RFC 9530) or the
// older Digest header.
func sha256In(h http.Header) ([]byte, bool) {
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

// readUpTo reads at most n bytes into memory charged to m. Whole is true when the
// body ended within them and passed its checks.
func (s *bodyStream) readUpTo(m *memory, n int64) (body []byte, release func(), whole bool, err error) {
	var charged int64
	release = func() { m.give(charged); charged = 0 }
	var buf bytes.Buffer
	if size := s.resp.ContentLength; size > 0 {
		size = min(size, n)
		if !m.take(size) {
			return nil, nil, false, errNoMemory
		}
		charged = size
		buf.Grow(int(size) + bytes.MinRead)
	}
	if s.resp.ContentLength > s.limit {
		release()
		return nil, nil, false, errBodyTooLarge
	}
	in := &chargedReader{r: io.LimitReader(s, n), m: m, charged: &charged}
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

// atEnd reports whether the body has ended; a byte read to find out is put back.
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

// copyTo passes the rest of the body on. The last piece is held back until the
// end has been checked, so that a body with a wrong digest stays short.
func (s *bodyStream) copyTo(w io.Writer) error {
	var bufs [2][]byte
	bufs[0], bufs[1] = make([]byte, copyBuffer), make([]byte, copyBuffer)
	held := []byte(nil)
	for i := 0; ; i++ {
		buf := bufs[i%2]
		n, err := s.Read(buf)
		if n > 0 {
			if _, werr := w.Write(held); werr != nil {
				return werr
			}
			held = buf[:n]
		}
		if err == io.EOF {
			_, werr := w.Write(held)
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

// announce names the trailers that will follow a streamed answer.
func (s *bodyStream) announce(h http.Header) {
	for name := range s.resp.Trailer {
		h.Add("Trailer", name)
	}
}

// trailers copies the trailers after the body.
func (s *bodyStream) trailers(h http.Header) {
	for name, values := range s.resp.Trailer {
		h[name] = values
	}
}

// copyDigest turns a digest trailer into a header once the body is complete.
func (s *bodyStream) copyDigest(h http.Header) {
	for _, name := range []string{headerContentDigest, headerDigest} {
		if v := s.resp.Trailer.Get(name); v != "" {
			h.Set(name, v)
		}
	}
}

// end closes the body and gives the slot back. Later calls have no effect.
func (s *bodyStream) end(result routing.Result) {
	if result != routing.Success {
		s.cancel() // closes the connection, so that a hanging body does not block Close
	}
	_ = s.resp.Body.Close()
	s.cancel()
	s.grant.finish(result)
}
