package fleettest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Advisor is a simulated fleet.Advisor that issues tickets for starts on workers.
type Advisor struct {
	mu         sync.Mutex
	validUntil map[string]time.Time // expiry by ticket
	number     int                  // of the last ticket
	// Valid is how long a ticket is valid.
	Valid    time.Duration
	excluded map[model.WorkerID]bool
	calls    int
	down     bool
}

// NewAdvisor returns an advisor whose tickets are valid for the given time.
func NewAdvisor(valid time.Duration) *Advisor {
	return &Advisor{validUntil: map[string]time.Time{}, Valid: valid, excluded: map[model.WorkerID]bool{}}
}

// SetDown leaves calls unanswered if down is true, and answers them again otherwise.
func (a *Advisor) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// Exclude issues no more tickets for a worker.
func (a *Advisor) Exclude(w model.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excluded[w] = true
}

// CallCount returns the number of calls that were answered.
func (a *Advisor) CallCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Revoke invalidates all tickets before they expire.
func (a *Advisor) Revoke() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.validUntil)
}

// Advise implements fleet.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []model.WorkerID) (fleet.Advice, error) {
	if err := sleep(ctx, answerTime); err != nil {
		return fleet.Advice{}, err
	}
	a.mu.Lock()
	down := a.down
	a.mu.Unlock()
	if down {
		<-ctx.Done()
		return fleet.Advice{}, unknown(ErrUnreachable)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	answer := fleet.Advice{Tickets: map[model.WorkerID]string{}, Valid: a.Valid}
	for _, w := range workers {
		if a.excluded[w] {
			continue
		}
		a.number++
		ticket := fmt.Sprintf("%s/%s/%d", step, w, a.number)
		a.validUntil[ticket] = time.Now().Add(a.Valid)
		answer.Tickets[w] = ticket
	}
	return answer, nil
}

// valid reports whether the ticket of a start order is valid for its step and worker.
func (a *Advisor) valid(w *Worker, o fleet.StartOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.validUntil[o.Ticket]
	step := string(o.Task[:strings.LastIndex(string(o.Task), ".")])
	return ok && time.Now().Before(until) && strings.HasPrefix(o.Ticket, step+"/"+string(w.Info.Worker)+"/")
}
