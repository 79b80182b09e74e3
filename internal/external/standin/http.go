// Package standin implements in-memory servers of the platform's HTTP protocol with seeded
// fault injection, for tests and vpier dev: table service, object store, host list, workers
// and runners. They record violations of the requirements in a Ledger.
// docs/platform-protocol.md describes the protocol.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxRequestBody bounds request bodies, in bytes.
const maxRequestBody = httpapi.MaxObjectSize

var kindStatus = map[model.Kind]int{
	model.KindInvalid:     http.StatusBadRequest,
	model.KindNotFound:    http.StatusNotFound,
	model.KindConflict:    http.StatusConflict,
	model.KindFenced:      http.StatusPreconditionFailed,
	model.KindDenied:      http.StatusForbidden,
	model.KindUnavailable: http.StatusServiceUnavailable,
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, err error) {
	body := httpapi.ErrorBody{Kind: model.KindOf(err), Message: err.Error()}
	var e *model.Error
	if errors.As(err, &e) {
		body.Message, body.Remedy = e.Message, e.Remedy
	}
	status, ok := kindStatus[body.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, body)
}

// readBody reads the complete request body. A service must not act on a partial one.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		writeError(w, model.Wrap(model.KindInvalid, err, "send the complete body", "request body"))
		return nil, false
	}
	return data, true
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	data, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, out); err != nil {
		writeError(w, model.Wrap(model.KindInvalid, err, "send JSON as the protocol page describes", "request body"))
		return false
	}
	return true
}

// applyRequestFaults applies the faults that precede the effect of a request and reports
// whether to execute the request.
func applyRequestFaults(w http.ResponseWriter, f *Faults, name ServiceName) (ServiceFault, bool) {
	fault := f.Service(name)
	if fault.BreakConnections {
		abortConnection()
	}
	if fault.Down {
		writeError(w, model.Errorf(model.KindUnavailable, "retry later", "%s is down", name))
		return fault, false
	}
	delayHalf(fault.Slow)
	return fault, true
}

// finishWrite applies the faults that follow the effect of a write and sends the response.
func finishWrite(w http.ResponseWriter, f *Faults, fault ServiceFault, err error) {
	delayHalf(fault.Slow)
	if f.chance(fault.LoseResponse) {
		abortConnection()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// finishRead sends the response to a read.
func finishRead(w http.ResponseWriter, fault ServiceFault, v any, err error) {
	delayHalf(fault.Slow)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}
