package adminapi

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// certificateCredential is written in place of a token digest for an operator who is
// identified by a client certificate.
const certificateCredential = "certificate"

// maxOperatorsBytes bounds the size of the operators file. It is enough for about 10,000
// lines.
const maxOperatorsBytes = 1_000_000

// operatorNamePattern matches valid operator names.
var operatorNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Operators is the content of an operators file. Each line is NAME:DIGEST, the
// SHA-256 of the operator's token in hexadecimal digits, or NAME:certificate
// for an operator who is identified by the common name of a verified client
// certificate. Empty lines and lines that start with # are ignored. A name may
// have several lines, so that a token can be rotated without an interruption.
type Operators struct {
	tokens       []tokenEntry
	certificates map[string]bool
}

// tokenEntry is one token digest and its operator.
type tokenEntry struct {
	name   string
	digest [sha256.Size]byte
}

// ParseOperators reads the content of an operators file.
func ParseOperators(text []byte) (*Operators, error) {
	ops := &Operators{certificates: map[string]bool{}}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := ops.add(line); err != nil {
			return nil, model.Wrap(model.KindInvalid, err, "write NAME:SHA256-OF-TOKEN or NAME:certificate", "line %d", number)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "write one operator to a line", "operators file")
	}
	if len(ops.tokens)+len(ops.certificates) == 0 {
		return nil, model.Errorf(model.KindInvalid, "add a line NAME:SHA256-OF-TOKEN", "the operators file lists nobody")
	}
	return ops, nil
}

// add adds one line. Errors do not repeat the line, which holds a digest.
func (o *Operators) add(line string) error {
	name, credential, found := strings.Cut(line, ":")
	if !found || !operatorNamePattern.MatchString(name) {
		return model.Errorf(model.KindInvalid, "", "no valid name before a colon")
	}
	if credential == certificateCredential {
		o.certificates[name] = true
		return nil
	}
	digest, err := hex.DecodeString(credential)
	if err != nil || len(digest) != sha256.Size {
		return model.Errorf(model.KindInvalid, "", "the digest of %s is not 64 hexadecimal digits", name)
	}
	o.tokens = append(o.tokens, tokenEntry{name: name, digest: [sha256.Size]byte(digest)})
	return nil
}

// byToken returns the operator of a token, or the empty string. It compares with
// every entry in constant time to prevent timing attacks.
func (o *Operators) byToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	name := ""
	for _, entry := range o.tokens {
		if subtle.ConstantTimeCompare(digest[:], entry.digest[:]) == 1 {
			name = entry.name
		}
	}
	return name
}

// operatorsFile holds the content of the operators file and reloads it when it changes.
type operatorsFile struct {
	path string
	log  *logrus.Entry

	mu      sync.Mutex
	current *Operators
	stamp   fileStamp
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// openOperators reads the file. It must be valid when the node starts.
func openOperators(path string, log *logrus.Entry) (*operatorsFile, error) {
	if path == "" {
		return nil, model.Errorf(model.KindInvalid, "set the path of the operators file", "no operators file is given")
	}
	f := &operatorsFile{path: path, log: log}
	return f, f.reload()
}

// get returns the current operators. It reads the file again when its size or
// modification time has changed. A file that cannot be read leaves the operators
// unchanged.
func (f *operatorsFile) get() *Operators {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stamp, err := stampOf(f.path); err != nil || stamp != f.stamp {
		if err := f.reload(); err != nil {
			f.log.WithError(err).Error("operators file not reloaded; the previous content stays in use")
		}
	}
	return f.current
}

// reload reads the file.
func (f *operatorsFile) reload() error {
	stamp, err := stampOf(f.path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "create the operators file or correct its path", "operators file")
	}
	f.stamp = stamp
	if stamp.size > maxOperatorsBytes {
		return model.Errorf(model.KindInvalid, "correct the path of the operators file", "%s has %d bytes, more than %d", f.path, stamp.size, maxOperatorsBytes)
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "make the operators file readable for the node", "operators file")
	}
	ops, err := ParseOperators(text)
	if err != nil {
		return model.Wrap(model.KindInvalid, err, "correct the operators file", "%s", f.path)
	}
	f.current = ops
	return nil
}

// stampOf returns the stamp of a file.
func stampOf(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}, nil
}

// authenticate returns the operator who sent r.
func (s *server) authenticate(r *http.Request) (string, error) {
	if r.TLS == nil && !s.cfg.AllowPlaintext && !isLoopback(r.RemoteAddr) {
		return "", model.Errorf(model.KindDenied, "use https", "commands from other hosts need TLS")
	}
	ops := s.operators.get()
	if header := r.Header.Get("Authorization"); header != "" {
		return s.authenticateToken(ops, header)
	}
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		name := r.TLS.VerifiedChains[0][0].Subject.CommonName
		if ops.certificates[name] {
			return name, nil
		}
		return "", s.denied("the client certificate's common name %q is not an operator", name)
	}
	return "", s.denied("the request carries neither a token nor a client certificate")
}

// authenticateToken returns the operator of an Authorization header.
func (s *server) authenticateToken(ops *Operators, header string) (string, error) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", s.denied("the Authorization header is not a bearer token")
	}
	if name := ops.byToken(token); name != "" {
		return name, nil
	}
	return "", s.denied("the token is not known")
}

// denied returns an error of kind denied and counts the failed authentication. Above
// the rate limit of failures the kind is exhausted, which slows down guessing.
func (s *server) denied(format string, args ...any) error {
	if !s.limits.failures.Allow() {
		return model.Errorf(model.KindExhausted, "wait a second and check the token", "too many requests without a valid identity")
	}
	return model.Errorf(model.KindDenied,
		"set the token file or client certificate of vpier; an administrator adds operators to the node's operators file", format, args...)
}

// isLoopback reports whether addr, as host:port, is on this host.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
