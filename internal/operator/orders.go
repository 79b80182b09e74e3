package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"

	"github.com/goccy/go-yaml"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// ordersPath is the path of the batch order API.
const ordersPath = "/v1/orders"

// HTTP headers of the batch order API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Vpier-Outcome"
)

// keyPattern matches valid idempotency keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// orderResult is the JSON output of a submission or cancellation.
type orderResult struct {
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Outcome        string          `json:"outcome,omitempty"`
	Reply          json.RawMessage `json:"reply"`
}

// submit runs vpier submit. The idempotency key makes retries safe, so a lost response
// is resolved by sending the order to the next node.
func (p *Program) submit(ctx context.Context, a *submitArgs) error {
	text, err := p.readInput(a.File)
	if err != nil {
		return err
	}
	job, err := readJob(a.File, text)
	if err != nil {
		return err
	}
	key := a.Key
	if key == "" {
		key = deriveKey(job)
	}
	if !keyPattern.MatchString(key) {
		return model.Errorf(model.KindInvalid, "use 1 to 128 letters, digits, dots, colons, underscores and hyphens", "the idempotency key is not valid")
	}
	res, err := p.sendOrder(ctx, request{
		method: http.MethodPost, path: ordersPath, body: job,
		header: http.Header{"Content-Type": {"application/json"}, headerIdempotencyKey: {key}},
	})
	if model.IsKind(err, model.KindUnknown) {
		return model.Wrap(model.KindUnknown, err, "submit the same file again; the key keeps it from running twice", "the order with key %s may have been taken", key)
	}
	if err != nil {
		return err
	}
	result := orderResult{IdempotencyKey: key, Outcome: res.header.Get(headerOutcome), Reply: jsonBody(res.body)}
	return p.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "order taken with idempotency key %s\n%s\n", key, result.Reply)
	})
}

// readJob converts a job from YAML or JSON to JSON. The nodes validate its fields.
func readJob(name string, text []byte) ([]byte, error) {
	const remedy = "pass a job as YAML or JSON"
	if len(text) > declaration.MaxBytes {
		return nil, model.Errorf(model.KindInvalid, remedy, "%s is larger than 10 MB", name)
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, model.Errorf(model.KindInvalid, remedy, "%s is empty", name)
	}
	var fields map[string]any
	if err := yaml.Unmarshal(text, &fields); err != nil || len(fields) == 0 {
		return nil, model.Errorf(model.KindInvalid, remedy, "%s is not a job", name)
	}
	job, err := json.Marshal(fields)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, remedy, "%s is not a job", name)
	}
	return job, nil
}

// deriveKey returns an idempotency key that depends only on the content of the job, not
// on its format or field order: json.Marshal has sorted the fields.
func deriveKey(job []byte) string {
	sum := sha256.Sum256(job)
	return "job-" + hex.EncodeToString(sum[:16])
}

// cancel runs vpier cancel. Cancelling is idempotent.
func (p *Program) cancel(ctx context.Context, a *cancelArgs) error {
	res, err := p.sendOrder(ctx, request{method: http.MethodDelete, path: ordersPath + "/" + url.PathEscape(a.Job)})
	if err != nil {
		return err
	}
	result := orderResult{Outcome: res.header.Get(headerOutcome), Reply: jsonBody(res.body)}
	return p.print(result, func(w io.Writer) { fmt.Fprintf(w, "job %s is cancelled\n%s\n", a.Job, result.Reply) })
}

// sendOrder sends an idempotent request to the order nodes in turn until one returns a
// conclusive result. The result is unknown when a response was lost and no later one
// was conclusive.
func (p *Program) sendOrder(ctx context.Context, r request) (response, error) {
	if len(p.client.orderNodes) == 0 {
		return response{}, noNodesError()
	}
	var last, unknown error
	for _, node := range p.client.orderNodes {
		res, err := p.client.send(ctx, node, r)
		if err == nil {
			err = orderError(node, r.method, res)
		}
		if isConclusive(err, unknown) {
			return res, err
		}
		last = err
		if model.IsKind(err, model.KindUnknown) {
			unknown = err
		}
	}
	if unknown != nil {
		return response{}, unknown
	}
	return response{}, allNodesFailed(len(p.client.orderNodes), last)
}

// orderError returns the error of a response, or nil.
func orderError(node, method string, res response) error {
	outcome := model.Outcome(res.header.Get(headerOutcome))
	switch {
	case outcome == model.OutcomeUnknown:
		return model.Errorf(model.KindUnknown, "repeat the command", "%s does not know the outcome", node)
	case res.status >= 200 && res.status < 300:
		return nil
	case outcome == model.OutcomeNotRun:
		return replyError(node, model.KindUnavailable, res)
	}
	return replyError(node, fallbackKind(method, res.status), res)
}

// jsonBody returns body unchanged when it is valid JSON, and as a JSON string otherwise.
func jsonBody(body []byte) json.RawMessage {
	body = bytes.TrimSpace(body)
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
