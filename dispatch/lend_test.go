package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newLending(slots ...int) *Dispatcher {
	d := New(Config{MaxQueued: 1000, LoanTime: time.Second, BorrowBudget: 2})
	d.SetUpstreams(start, "s", upstreamsOf(slots...))
	d.SetPeers([]Peer{{VM: "far"}, {VM: "near", Near: true}})
	return d
}

// borrow lets one dispatcher borrow from another.
func borrow(t *testing.T, borrower, from *Dispatcher) []Assignment {
	t.Helper()
	asks := borrower.Borrow(start)
	require.Len(t, asks, 1)
	ask := asks["near"]
	require.NotEmpty(t, ask.Service)
	require.Empty(t, borrower.Borrow(start), "one ask at a time")
	return borrower.Borrowed(start, "near", ask, from.Lend(start, ask))
}

func TestLoanGoesAndComesBack(t *testing.T) {
	borrower, from := newLending(1), newLending(8, 8)
	require.Empty(t, borrower.Borrow(start), "nothing waits")
	add(t, borrower, start, normalCall, "k", 30)
	lent := borrow(t, borrower, from)
	require.Len(t, lent, 13, "four fifths of the free slots are lent")
	require.Len(t, add(t, from, start, normalCall, "own", 16), 3, "lent slots are used at the lender")
	require.Zero(t, from.Lend(start, Ask{Service: "s", Call: "normal", Slots: 1}).Number, "a lender with a backlog lends nothing")

	for _, a := range lent {
		require.Equal(t, Borrowed, a.Reason)
	}
	later := start.Add(2 * time.Second)
	require.Empty(t, borrower.Returns(later), "every slot is in use")
	for _, a := range lent {
		next, _ := borrower.Finish(later, a, Result{Took: time.Second}, nil)
		require.Empty(t, next, "a loan that has ended starts nothing")
	}
	returns := borrower.Returns(later)
	require.Len(t, returns, 1)
	require.Equal(t, "near", returns[0].Lender)
	require.Len(t, from.TakeBack(later, returns[0]), 13)
	require.Empty(t, from.TakeBack(later, returns[0]), "a return counts once")
	require.Empty(t, borrower.Returns(later))
}

func TestLenderReclaimsFromADeadBorrower(t *testing.T) {
	from := newLending(8)
	require.NotZero(t, from.Lend(start, Ask{Service: "s", Call: "normal", Slots: 8}).Number)
	add(t, from, start, normalCall, "k", 8)
	require.Equal(t, 7, from.Waiting())
	from.Returns(start.Add(2 * time.Second))
	require.Empty(t, from.Tick(start.Add(2*time.Second)), "the borrower may still run tasks")
	late := start.Add(2*time.Second + reclaimAfter)
	from.Returns(late)
	require.Len(t, from.Tick(late), 7)
}

func TestLenderWithoutAnswerIsLeftAlone(t *testing.T) {
	borrower := newLending(1)
	add(t, borrower, start, normalCall, "k", 10)
	for _, want := range []string{"near", "far"} {
		asks := borrower.Borrow(start)
		require.Contains(t, asks, want)
		borrower.Borrowed(start, want, asks[want], Loan{})
	}
	require.Empty(t, borrower.Borrow(start))
	require.Len(t, borrower.Borrow(start.Add(minLenderWait)), 1)
}

func TestBudgetBoundsTheMessages(t *testing.T) {
	d := New(Config{MaxQueued: 1000, LoanTime: time.Second, BorrowBudget: 0.4})
	d.SetUpstreams(start, "s", upstreamsOf(1))
	d.SetPeers([]Peer{{VM: "near"}})
	add(t, d, start, normalCall, "k", 9)
	require.Empty(t, d.Borrow(start))
	add(t, d, start, normalCall, "l", 1)
	require.Len(t, d.Borrow(start), 1)
}
