package routing

// budgetBurst is the maximum balance in retries. It bounds the burst of retries after a long
// time without any.
const budgetBurst = 20

// Budget limits the sum of retries and hedges to a percentage of the requests. At any time,
// spent is at most percent/100 times earned.
type Budget struct {
	percent int
	// hundredths is the balance in hundredths of a retry.
	hundredths int
	earned     uint64
	spent      uint64
}

// NewBudget returns a budget of percent retries per hundred requests.
func NewBudget(percent int) *Budget { return &Budget{percent: max(0, percent)} }

// SetPercent changes the rate at which later requests earn retries.
func (b *Budget) SetPercent(percent int) { b.percent = max(0, percent) }

// Earn records one first attempt of a request.
func (b *Budget) Earn() {
	b.earned++
	b.hundredths = min(b.hundredths+b.percent, budgetBurst*100)
}

// Spend takes one retry or hedge from the budget. It returns false if the budget is exhausted.
func (b *Budget) Spend() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	b.spent++
	return true
}

// Refund returns one retry to the budget that was not sent after Spend.
func (b *Budget) Refund() {
	b.spent--
	b.hundredths += 100
}

// Totals returns the numbers of first attempts and of retries and hedges.
func (b *Budget) Totals() (requests, retries uint64) { return b.earned, b.spent }
