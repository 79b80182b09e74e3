package routing

// budgetBurst bounds the retries saved up while none were needed, so that a
// burst after a quiet hour stays small.
const budgetBurst = 20

// Budget bounds retries and hedges together to a part of the requests. At any
// time Spent is at most percent/100 times the number of Earn calls.
type Budget struct {
	percent int
	// hundredths is the balance in hundredths of a retry.
	hundredths int
	earned     uint64
	spent      uint64
}

// NewBudget returns a budget of percent retries for each hundred requests.
func NewBudget(percent int) *Budget { return &Budget{percent: max(0, percent)} }

// SetPercent changes the rate at which later requests earn retries.
func (b *Budget) SetPercent(percent int) { b.percent = max(0, percent) }

// Earn records one first attempt of a request.
func (b *Budget) Earn() {
	b.earned++
	b.hundredths = min(b.hundredths+b.percent, budgetBurst*100)
}

// Spend takes one retry or hedge; false means that the budget is used up.
func (b *Budget) Spend() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	b.spent++
	return true
}

// Refund gives back one retry that was not sent after all.
func (b *Budget) Refund() {
	b.spent--
	b.hundredths += 100
}

// Totals returns the numbers of first attempts and of retries and hedges.
func (b *Budget) Totals() (requests, retries uint64) { return b.earned, b.spent }
