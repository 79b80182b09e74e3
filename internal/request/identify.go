package request

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	servicesPath = "/v1/services/"
	// maxKeyBytes limits the length of an idempotency key; longer keys are refused.
	maxKeyBytes = 256
)

// identify determines the service, the caller and the idempotency of a request.
func (c *Chain) identify(next handler) handler {
	return func(cl *call) {
		if headerSize(cl.r.Header) > c.cfg.MaxHeaderBytes {
			c.refuse(cl, newRefusal(http.StatusRequestHeaderFieldsTooLarge, model.KindInvalid, 0,
				"the request header is too large", "send fewer or shorter headers"), "header-size")
			return
		}
		if f := c.findService(cl); f != nil {
			c.refuse(cl, f, "no-service")
			return
		}
		if f := readIdempotency(cl); f != nil {
			c.refuse(cl, f, "bad-header")
			return
		}
		cl.caller = callerOf(cl.r)
		cl.w.Header().Set(headerRequestID, cl.id)
		next(cl)
	}
}

// findService sets view, service and path of cl.
func (c *Chain) findService(cl *call) *Refusal {
	cl.view = c.deps.View()
	if cl.view == nil || cl.view.Declaration == nil {
		return newRefusal(http.StatusServiceUnavailable, model.KindStale, time.Second,
			"this node has no declaration yet", "retry, or use another node")
	}
	name, path := splitTarget(cl.r)
	cl.service, cl.path = name, path
	if name == "" {
		return newRefusal(http.StatusBadRequest, model.KindInvalid, 0,
			"the request names no service", "use /v1/services/<service>/... or the header "+headerService)
	}
	cl.svc = serviceOf(cl.view, name)
	if cl.svc == nil {
		return newRefusal(http.StatusNotFound, model.KindNotFound, 0,
			"the declaration has no service "+strconv.Quote(string(name)), "check the service name")
	}
	return nil
}

// splitTarget returns the service and the path to request from its runner.
func splitTarget(r *http.Request) (model.ServiceName, string) {
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPath); ok {
		name, path, _ := strings.Cut(rest, "/")
		return model.ServiceName(name), "/" + path
	}
	return model.ServiceName(r.Header.Get(headerService)), r.URL.EscapedPath()
}

// serviceOf returns the declared service, or nil.
func serviceOf(v *control.View, name model.ServiceName) *declaration.Service {
	for i := range v.Declaration.Services {
		if v.Declaration.Services[i].Name == name {
			return &v.Declaration.Services[i]
		}
	}
	return nil
}

// readIdempotency sets idempotent and key of cl.
func readIdempotency(cl *call) *Refusal {
	if v := cl.r.Header.Get(headerIdempotent); v != "" {
		if _, err := strconv.ParseBool(v); err != nil {
			return newRefusal(http.StatusBadRequest, model.KindInvalid, 0, headerIdempotent+" is neither true nor false", "send true or false")
		}
	}
	cl.idempotent = declaredIdempotent(cl.r)
	cl.key = cl.r.Header.Get(headerKey)
	if len(cl.key) > maxKeyBytes {
		return newRefusal(http.StatusBadRequest, model.KindInvalid, 0, headerKey+" is too long", "use at most 256 bytes")
	}
	return nil
}

// callerOf returns the caller's name for fair queueing: the header, or else the remote host.
func callerOf(r *http.Request) string {
	if v := r.Header.Get(headerCaller); v != "" {
		return v
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// headerSize returns the size of h in bytes as it is written on the wire.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
