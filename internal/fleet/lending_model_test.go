package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An exhaustive model of one lasting task that its cell lends and that borrowers return. It covers
// every order of elections, of actions of leaders that do not know that they were replaced, of
// writes that arrive late and of rows that are learnt late. The guards are those of
// task_lending.go and borrowed_tasks.go. Two runs within one cell are out of scope, as in the model
// of moves (moves_model_test.go): there a job that has left a cell never starts by itself, and here
// a cell runs what its row of the task says, whether the job has left it or not.

// Contents of the row of a lent task: absent, a loan (odd) or the return of one (even).
type lentRowContent uint8

func loanContent(loan uint8) lentRowContent   { return lentRowContent(2*loan - 1) }
func returnContent(loan uint8) lentRowContent { return lentRowContent(2 * loan) }
func (r lentRowContent) isLoan() bool         { return r%2 == 1 }
func (r lentRowContent) loan() uint8          { return uint8(r+1) / 2 }

// lendingLeader is a leader of one cell and its knowledge of the task. Cell 0 owns the job.
type lendingLeader struct {
	alive     bool
	term      uint8
	runsKnown bool
	// Of the owner: to which cell the task is lent, counted from 1, the number of the loan, and
	// whether that is known to be stored.
	lentTo, loan uint8
	stored       bool
	// Of a borrower: the loan that it may run, the last one that it knows to be returned, and the
	// one whose return is decided and not stored.
	holds, returned, returning uint8
}

// lendingState is the state of the store, the workers, the leaders and the writes in flight.
type lendingState struct {
	fence        [modelCells]uint8
	lentTo, loan uint8 // as the owner's progress tells
	row          [modelCells]lentRowContent
	written      [modelCells]uint8 // the last loan that was ever written
	// inFlight holds a bit for each write of a loan that may still arrive, by loan and expected row.
	inFlight    [modelCells]uint16
	leaders     [modelCells]lendingLeader
	former      [modelCells]lendingLeader
	workerFence [modelCells]uint8
	run         [modelCells]bool
}

// lendingModel holds the bounds of a model and names a guard to leave out.
type lendingModel struct {
	cells        int
	terms        uint8
	loans        uint8
	omittedGuard string
}

// writeBit returns the bit of a write of a loan that expects a row.
func writeBit(loan uint8, expected lentRowContent) uint16 {
	return 1 << (4*(loan-1) + uint8(expected)/2)
}

func (m lendingModel) initialState() lendingState {
	var s lendingState
	for c := range m.cells {
		s.fence[c] = 1
		s.leaders[c] = lendingLeader{alive: true, term: 1, runsKnown: true}
	}
	return s
}

// next returns all states that can follow s.
func (m lendingModel) next(s lendingState) []lendingState {
	var all []lendingState
	for c := range m.cells {
		if s.run[c] {
			n := s
			n.run[c] = false // the worker is lost
			all = append(all, n)
		}
		all = append(all, m.arrivals(s, c)...)
		if s.former[c].alive {
			n := s
			n.former[c] = lendingLeader{}
			all = append(all, n)
			all = append(all, m.act(s, c, func(s *lendingState) *lendingLeader { return &s.former[c] })...)
		}
		if s.fence[c] < m.terms {
			all = append(all, m.elect(s, c))
		}
		all = append(all, m.act(s, c, func(s *lendingState) *lendingLeader { return &s.leaders[c] })...)
	}
	return all
}

// arrivals returns the states after the arrival of each write in flight to a cell.
func (m lendingModel) arrivals(s lendingState, c int) []lendingState {
	var all []lendingState
	for loan := uint8(1); loan <= m.loans; loan++ {
		for expected := lentRowContent(0); expected < loanContent(loan); expected += 2 {
			bit := writeBit(loan, expected)
			if s.inFlight[c]&bit == 0 {
				continue
			}
			n := s
			n.inFlight[c] &^= bit
			if s.row[c] == expected || m.omittedGuard == "expected row" {
				n.row[c], n.written[c] = loanContent(loan), max(s.written[c], loan)
			}
			all = append(all, n)
		}
	}
	return all
}

func (m lendingModel) elect(s lendingState, c int) lendingState {
	s.former[c] = s.leaders[c]
	s.fence[c]++
	l := lendingLeader{alive: true, term: s.fence[c]}
	switch {
	case c == 0:
		l.lentTo, l.loan, l.stored = s.lentTo, s.loan, true
	case s.row[c].isLoan():
		l.holds = s.row[c].loan()
	default:
		l.returned = s.row[c].loan()
	}
	s.leaders[c] = l
	return s
}

// act returns the states after each possible action of a leader.
func (m lendingModel) act(s lendingState, c int, leader func(*lendingState) *lendingLeader) []lendingState {
	var all []lendingState
	after := func(change func(n *lendingState, l *lendingLeader)) {
		n := s
		change(&n, leader(&n))
		all = append(all, n)
	}
	l := *leader(&s)
	if !l.runsKnown && s.workerFence[c] <= l.term {
		after(func(n *lendingState, l *lendingLeader) { l.runsKnown, n.workerFence[c] = true, l.term })
	}
	runsKnown := l.runsKnown || m.omittedGuard == "runs known"
	mayStart := (c == 0 && l.lentTo == 0) || (c > 0 && l.holds > 0)
	if mayStart && runsKnown && !s.run[c] && s.workerFence[c] <= l.term {
		after(func(n *lendingState, l *lendingLeader) { n.run[c], n.workerFence[c] = true, l.term })
	}
	current := s.fence[c] == l.term || m.omittedGuard == "fence"
	if c == 0 {
		m.actAsOwner(s, l, runsKnown, current, after)
	} else {
		m.actAsBorrower(s, c, l, runsKnown, current, after)
	}
	return all
}

func (m lendingModel) actAsOwner(s lendingState, l lendingLeader, runsKnown, current bool, after func(func(*lendingState, *lendingLeader))) {
	if l.lentTo == 0 && !s.run[0] && runsKnown && l.loan < m.loans {
		for d := 1; d < m.cells; d++ {
			after(func(_ *lendingState, l *lendingLeader) { l.lentTo, l.loan, l.stored = uint8(d+1), l.loan+1, false })
		}
	}
	if !l.stored && current {
		after(func(n *lendingState, l *lendingLeader) { n.lentTo, n.loan, l.stored = l.lentTo, l.loan, true })
		after(func(n *lendingState, l *lendingLeader) { n.lentTo, n.loan = l.lentTo, l.loan }) // the answer is lost
	}
	if l.lentTo == 0 {
		return
	}
	row := s.row[l.lentTo-1]
	if l.stored || m.omittedGuard == "stored" {
		after(func(n *lendingState, l *lendingLeader) { n.inFlight[l.lentTo-1] |= writeBit(l.loan, 0) })
		if row > 0 && !row.isLoan() && row.loan() < l.loan {
			after(func(n *lendingState, l *lendingLeader) { n.inFlight[l.lentTo-1] |= writeBit(l.loan, row) })
		}
	}
	if row > 0 && !row.isLoan() && (row.loan() == l.loan || m.omittedGuard == "number of the loan") {
		after(func(_ *lendingState, l *lendingLeader) { l.lentTo, l.stored = 0, false })
	}
}

func (m lendingModel) actAsBorrower(s lendingState, c int, l lendingLeader, runsKnown, current bool, after func(func(*lendingState, *lendingLeader))) {
	for loan := uint8(1); loan <= s.written[c]; loan++ { // also a row that another one has replaced since
		if loan > l.holds && (loan > l.returned || m.omittedGuard == "returned loans") {
			after(func(_ *lendingState, l *lendingLeader) { l.holds = loan })
		}
	}
	if l.holds > 0 && !s.run[c] && runsKnown && l.returning == 0 {
		after(func(_ *lendingState, l *lendingLeader) { l.returned, l.returning, l.holds = l.holds, l.holds, 0 })
	}
	if l.returning > 0 && current {
		after(func(n *lendingState, l *lendingLeader) { n.row[c], l.returning = returnContent(l.returning), 0 })
	}
}

func (m lendingModel) runsOf(s lendingState) int {
	n := 0
	for _, r := range s.run {
		if r {
			n++
		}
	}
	return n
}

func (m lendingModel) guardOmitted() bool { return m.omittedGuard != "" }

// However leaders change and rows are late, a lent task must never run in two cells at once, and it
// must stay possible that it runs in one.
func TestLendingProtocolModel(t *testing.T) {
	for _, m := range []lendingModel{{cells: 2, terms: 2, loans: 3}, {cells: 2, terms: 3, loans: 2}, {cells: modelCells, terms: 1, loans: 3}} {
		states, twice, deadEnds := explore(m)
		t.Logf("%d cells, %d terms, %d loans: %d states", m.cells, m.terms, m.loans, states)
		require.False(t, twice, "%+v", m)
		require.Zero(t, deadEnds, "%+v", m)
	}
}

// Without any one of the guards the model must find a task that runs in two cells. Otherwise it
// would not show that the guards are needed.
func TestLendingProtocolModelFindsMissingGuards(t *testing.T) {
	for _, guard := range []string{"stored", "expected row", "runs known", "fence", "number of the loan", "returned loans"} {
		_, twice, _ := explore(lendingModel{cells: 2, terms: 2, loans: 2, omittedGuard: guard})
		require.True(t, twice, guard)
	}
}
