package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An exhaustive model of how a job moves between cells. It covers every order of elections, of
// actions of leaders that do not know that they were replaced, of transactions whose answers
// are lost, and of rows that arrive late. The guards are those of moves.go, tables.go and
// waiting_steps.go. Two runs within one cell are out of scope: the fences that workers check
// prevent these.

const modelCells = 3

// modelLeader is a leader of one cell and its knowledge of the job.
type modelLeader struct {
	alive     bool
	term      uint8
	hasRow    bool  // it has read the job's row
	inherited bool  // the row existed when the term began
	runsKnown bool  // it knows all runs of earlier terms
	confirmed bool  // a transaction of the term followed the row
	decided   uint8 // the cell to which the job moves
	stored    bool  // the decision is known to be stored
}

// modelState is the state of the store, the workers, the leaders and the writes in flight.
// Cells are counted from 1 in moved and decided; 0 means none.
type modelState struct {
	fence       [modelCells]uint8
	moved       [modelCells]uint8
	row         [modelCells]bool
	rowInFlight [modelCells]bool // the write of the row for a cell is in flight
	leaders     [modelCells]modelLeader
	former      [modelCells]modelLeader // replaced without knowing it
	workerFence [modelCells]uint8       // highest fence that the cell's workers have seen
	run         [modelCells]uint8       // the term that started the run; 0 for none
}

// jobModel holds the bounds of a model.
type jobModel struct {
	cells int
	terms uint8
	// omittedGuard names a guard to leave out, to show that the model finds the fault that the
	// guard prevents.
	omittedGuard string
}

func (m jobModel) initialState() modelState {
	var s modelState
	s.row[0] = true
	for c := range m.cells {
		s.fence[c] = 1
		s.leaders[c] = modelLeader{alive: true, term: 1}
	}
	return s
}

// next returns all states that can follow s.
func (m jobModel) next(s modelState) []modelState {
	var all []modelState
	for c := range m.cells {
		if s.rowInFlight[c] {
			n := s
			n.rowInFlight[c], n.row[c] = false, true
			all = append(all, n)
		}
		if s.run[c] > 0 {
			n := s
			n.run[c] = 0 // the step is done
			all = append(all, n)
		}
		if s.former[c].alive {
			n := s
			n.former[c] = modelLeader{}
			all = append(all, n)
		}
		if s.fence[c] < m.terms {
			all = append(all, m.elect(s, c))
		}
		all = append(all, m.act(s, c, func(s *modelState) *modelLeader { return &s.leaders[c] })...)
		if s.former[c].alive {
			all = append(all, m.act(s, c, func(s *modelState) *modelLeader { return &s.former[c] })...)
		}
	}
	return all
}

func (m jobModel) elect(s modelState, c int) modelState {
	s.former[c] = s.leaders[c]
	s.fence[c]++
	s.leaders[c] = modelLeader{alive: true, term: s.fence[c], hasRow: s.row[c], inherited: s.row[c], decided: s.moved[c], stored: s.moved[c] > 0}
	return s
}

// act returns the states after each possible action of a leader.
func (m jobModel) act(s modelState, c int, leader func(*modelState) *modelLeader) []modelState {
	var all []modelState
	after := func(change func(n *modelState, l *modelLeader)) {
		n := s
		change(&n, leader(&n))
		all = append(all, n)
	}
	l := *leader(&s)
	current := s.fence[c] == l.term
	if !l.hasRow && s.row[c] {
		after(func(_ *modelState, l *modelLeader) { l.hasRow = true })
	}
	if l.hasRow && !l.confirmed && (current || m.omittedGuard == "unconfirmed") {
		after(func(_ *modelState, l *modelLeader) { l.confirmed = true })
	}
	if l.inherited && !l.runsKnown && s.workerFence[c] <= l.term {
		after(func(n *modelState, l *modelLeader) { l.runsKnown, n.workerFence[c] = true, l.term })
	}
	mayStart := l.hasRow && l.decided == 0 && l.confirmed && (!l.inherited || l.runsKnown)
	if mayStart && s.run[c] == 0 && s.workerFence[c] <= l.term {
		after(func(n *modelState, l *modelLeader) { n.run[c], n.workerFence[c] = l.term, l.term })
	}
	if l.hasRow && l.decided == 0 && s.run[c] == 0 && (!l.inherited || m.omittedGuard == "inherited") {
		for d := range m.cells {
			if !s.left(d) && d != c {
				after(func(_ *modelState, l *modelLeader) { l.decided = uint8(d + 1) })
			}
		}
	}
	if l.decided > 0 && !l.stored && current {
		after(func(n *modelState, l *modelLeader) { n.moved[c], l.stored = l.decided, true })
		after(func(n *modelState, l *modelLeader) { n.moved[c] = l.decided }) // the answer is lost
	}
	if l.decided > 0 && (l.stored || m.omittedGuard == "unstored") && !s.rowInFlight[l.decided-1] && !s.row[l.decided-1] {
		after(func(n *modelState, l *modelLeader) { n.rowInFlight[l.decided-1] = true })
	}
	return all
}

// left reports whether the job has left a cell or was accepted there, which is cell 0.
func (s *modelState) left(c int) bool { return s.moved[c] > 0 || (c == 0) }

// runs returns the number of cells in which the job runs.
func (s *modelState) runs() int {
	n := 0
	for _, r := range s.run {
		if r > 0 {
			n++
		}
	}
	return n
}

// runsOf returns the number of cells in which the job of a state runs.
func (m jobModel) runsOf(s modelState) int { return s.runs() }

func (m jobModel) guardOmitted() bool { return m.omittedGuard != "" }

// protocolModel is a model of a protocol between cells with states S.
type protocolModel[S comparable] interface {
	initialState() S
	next(s S) []S
	// runsOf returns in how many cells something runs.
	runsOf(s S) int
	// guardOmitted reports whether a guard is left out, so that one fault is enough.
	guardOmitted() bool
}

// explore visits all reachable states. It returns their number, whether something runs in two
// cells in any of them, and the number of states from which none can be reached in which it runs.
func explore[S comparable](m protocolModel[S]) (states int, twice bool, deadEnds int) {
	numbers := map[S]int{m.initialState(): 0}
	queue := []S{m.initialState()}
	var before [][]int // predecessors of each state
	var goal []int
	for at := 0; at < len(queue); at++ {
		s := queue[at]
		if len(before) <= at {
			before = append(before, nil)
		}
		switch m.runsOf(s) {
		case 0:
		case 1:
			goal = append(goal, at)
		default:
			if m.guardOmitted() {
				return at, true, 0 // the expected fault is found
			}
			twice = true
			goal = append(goal, at)
		}
		for _, n := range m.next(s) {
			k, known := numbers[n]
			if !known {
				k = len(queue)
				numbers[n] = k
				queue = append(queue, n)
			}
			for len(before) <= k {
				before = append(before, nil)
			}
			before[k] = append(before[k], at)
		}
	}
	reach := make([]bool, len(queue))
	for len(goal) > 0 {
		at := goal[len(goal)-1]
		goal = goal[:len(goal)-1]
		if reach[at] {
			continue
		}
		reach[at] = true
		goal = append(goal, before[at]...)
	}
	for _, ok := range reach {
		if !ok {
			deadEnds++
		}
	}
	return len(queue), twice, deadEnds
}

// However leaders change and writes are lost or late, a job must never run in two cells at
// once, and it must stay possible that it runs in one.
func TestMoveProtocolModel(t *testing.T) {
	for _, m := range []jobModel{{cells: 2, terms: 3}, {cells: modelCells, terms: 2}} {
		states, twice, deadEnds := explore(m)
		t.Logf("%d cells, %d terms: %d states", m.cells, m.terms, states)
		require.False(t, twice, "%+v", m)
		require.Zero(t, deadEnds, "%+v", m)
	}
}

// Without any one of the guards the model must find a job that runs in two cells. Otherwise it
// would not show that the guards are needed.
func TestMoveProtocolModelFindsMissingGuards(t *testing.T) {
	for _, guard := range []string{"unstored", "inherited", "unconfirmed"} {
		_, twice, _ := explore(jobModel{cells: modelCells, terms: 2, omittedGuard: guard})
		require.True(t, twice, guard)
	}
}
