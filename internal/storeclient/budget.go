package storeclient

import (
	"container/list"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillapier/vanillapier/internal/model"
)

// budget limits the rate of operations. While operations wait, each token goes to the
// operation of the highest priority that has waited longest.
type budget struct {
	name       string
	limiter    *rate.Limiter
	maxWaiting int

	mu       sync.Mutex
	queues   [priorityCount]list.List
	waiting  int
	granting bool
}

func newBudget(name string, perSecond float64, burst, maxWaiting int) *budget {
	return &budget{
		name:       name,
		limiter:    rate.NewLimiter(rate.Limit(perSecond), burst),
		maxWaiting: maxWaiting,
	}
}

// acquire waits for a token. When it returns an error, no token was used and the operation
// must not be sent.
func (b *budget) acquire(ctx context.Context, p Priority) error {
	granted, elem, err := b.enqueue(p)
	if err != nil || granted == nil {
		return err
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		if b.withdraw(p, elem) {
			return model.Wrap(model.KindUnavailable, ctx.Err(), "retry later or raise the "+b.name+" budget",
				"no %s budget before the deadline", b.name)
		}
		return nil
	}
}

func (b *budget) enqueue(p Priority) (chan struct{}, *list.Element, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == 0 && b.limiter.Allow() {
		return nil, nil, nil
	}
	if b.waiting >= b.maxWaiting {
		return nil, nil, model.Errorf(model.KindExhausted, "retry later", "%d store %ss are waiting", b.waiting, b.name)
	}
	granted := make(chan struct{})
	elem := b.queues[p].PushBack(granted)
	b.waiting++
	if !b.granting {
		b.granting = true
		go b.grantLoop()
	}
	return granted, elem, nil
}

// withdraw removes a waiting operation. It returns false when the token has been granted in
// the meantime.
func (b *budget) withdraw(p Priority, elem *list.Element) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elem.Value == nil {
		return false
	}
	b.queues[p].Remove(elem)
	b.waiting--
	return true
}

// grantLoop grants tokens until no operation waits.
func (b *budget) grantLoop() {
	for {
		time.Sleep(b.limiter.Reserve().Delay())
		if !b.grantNext() {
			return
		}
	}
}

func (b *budget) grantNext() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.queues {
		elem := b.queues[p].Front()
		if elem == nil {
			continue
		}
		granted := b.queues[p].Remove(elem).(chan struct{})
		elem.Value = nil
		b.waiting--
		close(granted)
		break
	}
	b.granting = b.waiting > 0
	return b.granting
}

// discardTokens discards the tokens that accumulated while the store was unavailable, so that
// the first seconds after an outage run at the steady rate without a burst.
func (b *budget) discardTokens() {
	b.limiter.ReserveN(time.Now(), int(b.limiter.Tokens()))
}
