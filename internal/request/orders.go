package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

const (
	ordersPath = "/v1/orders"
	// maxOrderTasks limits the tasks of one order, so that a job fits into one journal batch.
	maxOrderTasks = 1000
	// defaultMaxRetries applies when the class sets no limit.
	defaultMaxRetries = 3
)

// Order is the body of POST /v1/orders.
type Order struct {
	Team  model.TeamName  `json:"team"`
	Class model.ClassName `json:"class"`
	// Urgency is bulk, normal, high or urgent; empty means the class's urgency.
	Urgency string      `json:"urgency,omitempty"`
	Tasks   []OrderTask `json:"tasks"`
}

// OrderTask is one task of an order.
type OrderTask struct {
	// Resources is the amount that the task reserves; zero means the class's default.
	Resources model.Resources `json:"resources"`
	// DeclaredRun is the expected run time, such as 30s.
	DeclaredRun declaration.Duration `json:"declared_run"`
	// Payload is passed to the worker; base64 in JSON.
	Payload []byte `json:"payload,omitempty"`
}

// OrderAccepted is the response body for an accepted order.
type OrderAccepted struct {
	Job   model.JobID  `json:"job"`
	Cell  model.CellID `json:"cell"`
	Tasks int          `json:"tasks"`
}

// serveOrders handles /v1/orders and /v1/orders/<job>.
func (c *Chain) serveOrders(w http.ResponseWriter, r *http.Request) {
	cl := &call{w: w, r: r, ctx: r.Context(), id: c.newID(), arrived: c.deps.Clock(), service: "orders"}
	ctx, cancel := context.WithTimeout(cl.ctx, defaultTimeout)
	defer cancel()
	cl.ctx = ctx
	cl.w.Header().Set(headerRequestID, cl.id)
	if c.deps.Orders == nil || c.deps.Claims == nil {
		c.refuse(cl, refuseNoClaims(), "no-claims")
		return
	}
	job := strings.Trim(strings.TrimPrefix(r.URL.Path, ordersPath), "/")
	switch {
	case job == "" && r.Method == http.MethodPost:
		c.submitOrder(cl)
	case job != "" && r.Method == http.MethodGet:
		c.orderStatus(cl, job)
	case job != "" && r.Method == http.MethodDelete:
		c.cancelOrder(cl, job)
	default:
		w.Header().Set("Allow", "POST on /v1/orders; GET, DELETE on /v1/orders/<job>")
		c.refuse(cl, newRefusal(http.StatusMethodNotAllowed, model.KindInvalid, 0, "method not allowed here", "see the Allow header"), "method")
	}
}

// submitOrder claims the key, then submits the job to its home cell.
func (c *Chain) submitOrder(cl *call) {
	cl.key = cl.r.Header.Get(headerKey)
	if cl.key == "" || len(cl.key) > maxKeyBytes {
		c.refuse(cl, newRefusal(http.StatusBadRequest, model.KindInvalid, 0,
			headerKey+" is missing or too long", "send a unique key of at most 256 bytes with each order"), "no-key")
		return
	}
	body, release, err := c.mem.readBody(cl.r.Body, cl.r.ContentLength, c.cfg.MaxOrderBytes)
	if err != nil {
		c.refuse(cl, bodyRefusal(err), "bad-body")
		return
	}
	defer release()
	cl.body = body
	view := c.deps.View()
	if view == nil || view.Declaration == nil {
		c.refuse(cl, newRefusal(http.StatusServiceUnavailable, model.KindStale, time.Second, "this node has no declaration yet", "retry, or use another node"), "no-view")
		return
	}
	job, err := parseOrder(view, body, model.JobID(ClaimRow(cl.key)))
	if err != nil {
		c.refuse(cl, refuseInvalid(err), "invalid-order")
		return
	}
	c.placeOrder(cl, job)
}

// parseOrder decodes an order and validates it against the declaration.
func parseOrder(view *control.View, body []byte, id model.JobID) (model.JobSpec, error) {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil {
		return model.JobSpec{}, model.Wrap(model.KindInvalid, err, "send the JSON body that docs/callers.md describes", "the order is not valid JSON")
	}
	class := classOf(view.Declaration, o.Class)
	if class == nil {
		return model.JobSpec{}, model.Errorf(model.KindInvalid, "use a batch class of the declaration", "unknown batch class %q", o.Class)
	}
	if !hasTeam(view.Declaration, o.Team) {
		return model.JobSpec{}, model.Errorf(model.KindInvalid, "use a team of the declaration", "unknown team %q", o.Team)
	}
	if len(o.Tasks) == 0 || len(o.Tasks) > maxOrderTasks {
		return model.JobSpec{}, model.Errorf(model.KindInvalid, "send 1 to 1000 tasks in one order", "the order has %d tasks", len(o.Tasks))
	}
	urgency, err := urgencyOf(o.Urgency, class.Urgency)
	if err != nil {
		return model.JobSpec{}, err
	}
	job := model.JobSpec{ID: id, Tasks: make([]model.TaskSpec, len(o.Tasks))}
	for i, t := range o.Tasks {
		spec, err := newTaskSpec(t, class)
		if err != nil {
			return model.JobSpec{}, model.Wrap(model.KindInvalid, err, "correct the task", "task %d", i)
		}
		spec.ID = model.TaskID(fmt.Sprintf("%s/%d", id, i))
		spec.Job, spec.Team, spec.Class, spec.Urgency = id, o.Team, o.Class, urgency
		job.Tasks[i] = spec
	}
	return job, nil
}

// newTaskSpec returns the specification of one task, with the class's defaults applied.
func newTaskSpec(t OrderTask, class *declaration.BatchClass) (model.TaskSpec, error) {
	res := t.Resources
	if res.IsZero() {
		res = class.Resources.Resources()
	}
	if res.Negative() || res.IsZero() {
		return model.TaskSpec{}, model.Errorf(model.KindInvalid, "state positive amounts", "resources %s", res)
	}
	if t.DeclaredRun < 0 {
		return model.TaskSpec{}, model.Errorf(model.KindInvalid, "state a positive run time", "declared run %s", t.DeclaredRun.D())
	}
	retries := defaultMaxRetries
	if class.MaxRetries != nil {
		retries = *class.MaxRetries
	}
	return model.TaskSpec{Resources: res, DeclaredRun: t.DeclaredRun.D(), Gang: class.Gang, MaxRetries: retries, Payload: t.Payload}, nil
}

// classOf returns the batch class, or nil.
func classOf(d *declaration.Declaration, name model.ClassName) *declaration.BatchClass {
	for i := range d.BatchClasses {
		if d.BatchClasses[i].Name == name {
			return &d.BatchClasses[i]
		}
	}
	return nil
}

// hasTeam reports whether the declaration lists the team.
func hasTeam(d *declaration.Declaration, name model.TeamName) bool {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return true
		}
	}
	return false
}

// urgencyOf returns the stated urgency, or else the class's, or else normal.
func urgencyOf(stated, class string) (model.Urgency, error) {
	if stated == "" {
		stated = class
	}
	if stated == "" {
		return model.UrgencyNormal, nil
	}
	return declaration.ParseUrgency(stated)
}

// refuseInvalid is the refusal of an order that fails validation.
func refuseInvalid(err error) *Refusal {
	f := newRefusal(http.StatusBadRequest, model.KindInvalid, 0, err.Error(), "correct the order")
	var e *model.Error
	if errors.As(err, &e) {
		f.Remedy = e.Remedy
	}
	return f
}

// placeOrder writes the claim row first and submits the job afterwards. An unfinished claim by
// another node is taken over, so that the caller's retry completes an order that was
// interrupted by that node's failure.
func (c *Chain) placeOrder(cl *call, job model.JobSpec) {
	cell, err := c.deps.Orders.HomeCell(job)
	if err != nil {
		c.refuse(cl, newRefusal(http.StatusServiceUnavailable, model.KindOf(err), 2*time.Second, "no cell can take the order: "+err.Error(), "retry after the stated time"), "no-cell")
		return
	}
	sum := sha256.Sum256(cl.body)
	claim := Claim{ID: string(c.deps.Node) + "/" + c.newID(), Digest: "order/" + hex.EncodeToString(sum[:]), At: c.deps.Clock().UnixMilli(), Job: job.ID, Cell: cell}
	held, found, err := c.acquireClaim(cl.ctx, ClaimRow(cl.key), claim)
	switch {
	case err != nil:
		c.refuse(cl, refuseStore(), "store")
	case held != nil:
		c.submitClaimed(cl, held, job, false)
	case found.Digest != claim.Digest:
		c.refuse(cl, newRefusal(http.StatusConflict, model.KindConflict, 0, "the key was used for another order", "use a new "+headerKey+" for a new order"), "key-reused")
	case found.State == model.OutcomeDone:
		c.acceptOrder(cl, found, job, true)
	default:
		c.resumeOrder(cl, found, claim, job)
	}
}

// resumeOrder takes over an unfinished claim of the same order, then submits the job to the
// cell that the claim names at that time: its holder may have moved it to another cell since
// the first read.
func (c *Chain) resumeOrder(cl *call, found, claim Claim, job model.JobSpec) {
	row := ClaimRow(cl.key)
	current, version, err := c.deps.Claims.Get(cl.ctx, row)
	if err == nil && current.ID == found.ID {
		claim.Cell = current.Cell
		err = c.deps.Claims.Put(cl.ctx, row, claim, version)
	}
	if err != nil || current.ID != found.ID {
		c.refuse(cl, newUnknownRefusal(http.StatusServiceUnavailable, "the same order is being submitted elsewhere", "repeat with the same "+headerKey), "order-in-doubt")
		return
	}
	c.submitClaimed(cl, &heldClaim{row: row, claim: claim}, job, true)
}

// submitClaimed submits a claimed order. maybeSubmitted is true when another attempt may
// already have submitted it; a failure then does not prove that the order was not submitted.
func (c *Chain) submitClaimed(cl *call, held *heldClaim, job model.JobSpec, maybeSubmitted bool) {
	err := c.deps.Orders.Submit(cl.ctx, held.claim.Cell, job)
	for range maxFallbackCells {
		if maybeSubmitted || !model.IsKind(err, model.KindUnavailable) || !c.moveClaim(cl, held, job) {
			break
		}
		err = c.deps.Orders.Submit(cl.ctx, held.claim.Cell, job)
	}
	cl.claim, cl.claimChecked = held, true
	if err == nil {
		c.recordOutcome(cl, model.OutcomeDone, nil)
		c.acceptOrder(cl, held.claim, job, false)
		return
	}
	if maybeSubmitted || !provedNotRun(err) || !c.markNotRun(cl, held) {
		c.refuse(cl, newUnknownRefusal(http.StatusServiceUnavailable, "the order may have been submitted: "+err.Error(), "repeat with the same "+headerKey), "order-in-doubt")
		return
	}
	c.refuse(cl, newRefusal(http.StatusServiceUnavailable, model.KindOf(err), 2*time.Second, "the order was not submitted: "+err.Error(), "repeat with the same "+headerKey+" after the stated time"), "order-refused")
}

// maxFallbackCells limits the other cells that one request tries after the first. A cell
// without an owner is taken over within seconds, but urgent work must start sooner.
const maxFallbackCells = 2

// moveClaim changes a claim to another cell after its cell has definitely not accepted the
// order. It returns false when there is no other cell or the row could not be changed.
func (c *Chain) moveClaim(cl *call, held *heldClaim, job model.JobSpec) bool {
	cell, err := c.deps.Orders.HomeCell(job)
	if err != nil || cell == held.claim.Cell {
		return false
	}
	found, version, err := c.deps.Claims.Get(cl.ctx, held.row)
	if err != nil || found.ID != held.claim.ID {
		return false
	}
	claim := held.claim
	claim.Cell = cell
	if c.deps.Claims.Put(cl.ctx, held.row, claim, version) != nil {
		return false
	}
	held.claim = claim
	return true
}

// provedNotRun reports whether a failed submission definitely had no effect.
func provedNotRun(err error) bool {
	switch model.KindOf(err) {
	case model.KindUnavailable, model.KindInvalid, model.KindNotFound, model.KindExhausted, model.KindDenied, model.KindStale, model.KindFenced, model.KindConflict:
		return true
	}
	return false
}

// markNotRun marks the claim as not run, unless another node has taken it over.
func (c *Chain) markNotRun(cl *call, held *heldClaim) bool {
	found, version, err := c.deps.Claims.Get(cl.ctx, held.row)
	if err != nil || found.ID != held.claim.ID {
		return false
	}
	claim := held.claim
	claim.State = model.OutcomeNotRun
	return c.deps.Claims.Put(cl.ctx, held.row, claim, version) == nil
}

// acceptOrder responds with 202, or with 200 when the order was accepted before.
func (c *Chain) acceptOrder(cl *call, claim Claim, job model.JobSpec, replayed bool) {
	status := http.StatusAccepted
	if replayed {
		status = http.StatusOK
		cl.w.Header().Set(headerReplayed, "true")
	}
	cl.w.Header().Set("Location", ordersPath+"/"+string(claim.Job))
	c.deps.Decisions.LogDecision(telemetry.Decision{
		Kind: telemetry.KindOrder, Subject: string(claim.Job), Choice: string(claim.Cell), Reason: "accepted", Fields: describeOrder(job),
	})
	c.writeJSON(cl, status, OrderAccepted{Job: claim.Job, Cell: claim.Cell, Tasks: len(job.Tasks)})
}

// describeOrder returns the log fields of an order's decision, from which a trace can be
// generated. All tasks are assumed to be equal to the first.
func describeOrder(job model.JobSpec) logrus.Fields {
	first := job.Tasks[0]
	return logrus.Fields{
		"team": string(first.Team), "class": string(first.Class), "urgency": int(first.Urgency),
		"tasks": len(job.Tasks), "gang": first.Gang, "milli_cpu": first.Resources.MilliCPU,
		"memory_mb": first.Resources.MemoryMB, "declared_ms": first.DeclaredRun.Milliseconds(),
	}
}

// orderStatus responds with the progress of a job.
func (c *Chain) orderStatus(cl *call, job string) {
	claim, err := c.orderClaim(cl, job)
	if err != nil && !model.IsKind(err, model.KindNotFound) {
		c.orderStatusWithoutClaim(cl, model.JobID(job), err)
		return
	}
	if err != nil {
		c.refuse(cl, refuseNoOrder(), "no-order")
		return
	}
	status, err := c.deps.Orders.Status(cl.ctx, claim.Cell, claim.Job)
	if err != nil {
		c.refuse(cl, refuseOrderError(err, "the progress cannot be read now"), "order-status")
		return
	}
	c.writeJSON(cl, http.StatusOK, status)
}

// orderStatusWithoutClaim queries the cells while the claim cannot be read from the store.
// When no cell knows the job, it may still have a claim, so the response is the store's error,
// not a 404.
func (c *Chain) orderStatusWithoutClaim(cl *call, job model.JobID, claimErr error) {
	status, err := c.deps.Orders.Status(cl.ctx, "", job)
	if err != nil {
		c.refuse(cl, refuseOrderError(claimErr, "the order cannot be looked up now"), "store")
		return
	}
	c.writeJSON(cl, http.StatusOK, status)
}

// cancelOrder cancels a job in its cell and responds with 202.
func (c *Chain) cancelOrder(cl *call, job string) {
	claim, err := c.orderClaim(cl, job)
	switch {
	case model.IsKind(err, model.KindNotFound):
		c.refuse(cl, refuseNoOrder(), "no-order")
		return
	case err != nil:
		c.refuse(cl, refuseOrderError(err, "the order cannot be looked up now"), "store")
		return
	}
	if err := c.deps.Orders.Cancel(cl.ctx, claim.Cell, claim.Job); err != nil {
		c.refuse(cl, refuseOrderError(err, "the cancellation was not confirmed"), "order-cancel")
		return
	}
	c.deps.Decisions.LogDecision(telemetry.Decision{Kind: telemetry.KindCancel, Subject: string(claim.Job), Choice: string(claim.Cell), Reason: "caller"})
	c.writeJSON(cl, http.StatusAccepted, OrderStatus{Job: claim.Job, Cell: claim.Cell, State: "cancelled"})
}

// orderClaim reads the claim of a job. KindNotFound means that there is none.
func (c *Chain) orderClaim(cl *call, job string) (Claim, error) {
	notFound := model.Errorf(model.KindNotFound, "check the job id", "no order %q", job)
	if len(job) != 2*sha256.Size || strings.Trim(job, "0123456789abcdef") != "" {
		return Claim{}, notFound
	}
	claim, _, err := c.deps.Claims.Get(cl.ctx, job)
	if err == nil && claim.Job == "" {
		return Claim{}, notFound
	}
	return claim, err
}

// refuseNoOrder is the refusal for an unknown job.
func refuseNoOrder() *Refusal {
	return newRefusal(http.StatusNotFound, model.KindNotFound, 0, "no order has this job id", "use the id from the answer to POST /v1/orders")
}

// refuseOrderError is the refusal when the owner of the cell returned an error.
func refuseOrderError(err error, message string) *Refusal {
	if model.IsKind(err, model.KindNotFound) {
		return refuseNoOrder()
	}
	return newUnknownRefusal(http.StatusServiceUnavailable, message+": "+err.Error(), "retry after the stated time")
}

// writeJSON responds with v and the outcome done.
func (c *Chain) writeJSON(cl *call, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.refuse(cl, newUnknownRefusal(http.StatusInternalServerError, "the answer could not be encoded", "report this as a bug"), "encode")
		return
	}
	h := cl.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(model.OutcomeDone))
	cl.w.WriteHeader(status)
	_, _ = cl.w.Write(body) // a caller that disconnected can repeat the request
	c.metrics.countResponse(cl.service, string(model.OutcomeDone), "answered")
}
