package dispatch

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

// A VM with a backlog borrows free slots from a peer, several at once and for
// a short time. The lender counts lent slots as used until they come back, so
// that no slot is used by two VMs.

// Ask is a request for free slots of a service.
type Ask struct {
	Service string
	// Call is the call whose tasks wait.
	Call string
	// Slots is the number of slots that are wanted.
	Slots int
	// Within is the expected run time of the call that a lent slot must beat;
	// zero takes any.
	Within time.Duration
}

// Lent are slots of one upstream that a peer lends.
type Lent struct {
	Upstream Upstream // its Slots are those that are lent
	// Expected is the expected run time of the asked call.
	Expected time.Duration
}

// Loan is the answer to an Ask.
type Loan struct {
	// Number distinguishes the loans of a lender; 0 stands for none.
	Number uint64
	// For is the time for which the slots may start tasks.
	For   time.Duration
	Slots []Lent
	// Left is the number of slots that the lender could still lend.
	Left int
}

// Return gives back slots of a loan.
type Return struct {
	Service, Lender string
	Number          uint64
	Slots           []ReturnedSlots
}

// ReturnedSlots are slots of one upstream that are given back.
type ReturnedSlots struct {
	Upstream string
	Slots    int
}

const (
	// maxAsk is the most slots of one ask.
	maxAsk = 32
	// reclaimAfter is the time after the end of a loan at which a lender takes
	// back the slots of a borrower that does not answer.
	reclaimAfter = 30 * time.Second
	// lendShare is the share of its free slots that a VM lends at once.
	lendShare = 0.8
	// lendGain is the part of the present expectation that a borrowed slot
	// must stay under to be worth the messages.
	lendGain = 0.8
)

// given is a loan at its lender.
type given struct {
	until time.Time
	slots map[string]int // by upstream
}

// taken is a loan at its borrower.
type taken struct {
	lender string
	number uint64
	until  time.Time
	slots  []*slots
}

// ledger holds the loans of one service.
type ledger struct {
	mu     sync.Mutex // guards the fields below
	number uint64
	given  map[uint64]*given
	taken  []*taken
	peers  lenders
	asking bool
	budget float64 // messages that may be spent
}

// Messages of a loan and bounds of the budget.
const (
	// loanMessages are the ask, the loan, the return and its answer.
	loanMessages = 4
	// maxBudget bounds the messages saved up for a burst.
	maxBudget = 80
	// spareBudget is kept for times when no slot is free.
	spareBudget = 40
)

// earn adds to the budget for messages.
func (l *ledger) earn(messages float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget = min(l.budget+messages, maxBudget)
}

// Lend answers an ask of a peer. A VM whose own tasks wait lends nothing.
func (d *Dispatcher) Lend(now time.Time, ask Ask) Loan {
	p := d.pool(ask.Service)
	if d.config.LoanTime == 0 || p.waiting.Load() > 0 {
		return Loan{}
	}
	free := p.lendable()
	wanted := min(ask.Slots, int(math.Ceil(lendShare*float64(free))))
	loan := Loan{For: d.config.LoanTime, Slots: p.lend(ask, wanted)}
	g := &given{until: now.Add(d.config.LoanTime), slots: map[string]int{}}
	for _, lent := range loan.Slots {
		g.slots[lent.Upstream.Name] += lent.Upstream.Slots
		free -= lent.Upstream.Slots
	}
	loan.Left = free
	if len(loan.Slots) == 0 {
		return loan
	}
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.number++
	loan.Number = p.ledger.number
	p.ledger.given[loan.Number] = g
	return loan
}

// TakeBack enters slots that a borrower returned.
func (d *Dispatcher) TakeBack(now time.Time, r Return) []Assignment {
	p := d.pool(r.Service)
	p.ledger.mu.Lock()
	g := p.ledger.given[r.Number]
	back := map[string]int{}
	for _, s := range r.Slots {
		if g == nil {
			break
		}
		n := min(s.Slots, g.slots[s.Upstream])
		back[s.Upstream] += n
		if g.slots[s.Upstream] -= n; g.slots[s.Upstream] == 0 {
			delete(g.slots, s.Upstream)
		}
	}
	if g != nil && len(g.slots) == 0 {
		delete(p.ledger.given, r.Number)
	}
	p.ledger.mu.Unlock()
	p.giveBack(back)
	return p.assign(now, 0, nil)
}

// reclaim takes back the slots of loans whose borrower has not returned them.
func (p *pool) reclaim(now time.Time) {
	back := map[string]int{}
	p.ledger.mu.Lock()
	for number, g := range p.ledger.given {
		if now.Before(g.until.Add(reclaimAfter)) {
			continue
		}
		for name, n := range g.slots {
			back[name] += n
		}
		delete(p.ledger.given, number)
	}
	p.ledger.mu.Unlock()
	p.giveBack(back)
}

func (p *pool) giveBack(back map[string]int) {
	for name, n := range back {
		p.slotsOf(name).giveBack(name, n)
	}
}

// giveBack frees slots that had been lent.
func (s *slotShard) giveBack(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.known[name]; c != nil {
		c.used -= n
		s.relist(c)
	}
}

// lendable returns the number of free slots of this VM's own.
func (p *pool) lendable() int {
	free := 0
	for _, s := range p.slots {
		s.mu.Lock()
		for _, c := range s.known {
			if c.loan == nil {
				free += max(c.free(), 0)
			}
		}
		s.mu.Unlock()
	}
	return free
}

// lend takes up to n slots from the fastest upstreams.
func (p *pool) lend(ask Ask, n int) []Lent {
	var lent []Lent
	call := p.calls.named(ask.Call)
	for n > 0 {
		shard := p.fastestSlots(0)
		if shard < 0 {
			return lent
		}
		one, ok := p.slots[shard].lend(call, n, ask.Within)
		if !ok {
			return lent
		}
		n -= one.Upstream.Slots
		lent = append(lent, one)
	}
	return lent
}

// lend takes up to n slots of the fastest upstream, where it is fast enough.
func (s *slotShard) lend(call *callModel, n int, within time.Duration) (Lent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nonEmpty == 0 {
		return Lent{}, false
	}
	c := s.buckets[bits.TrailingZeros64(s.nonEmpty)].head
	expected := time.Duration(c.expected(call) * float64(time.Second))
	if c.loan != nil || (within > 0 && float64(expected) > lendGain*float64(within)) {
		return Lent{}, false
	}
	n = min(n, c.free())
	c.used += n
	s.relist(c)
	u := *c.upstream
	u.Slots = n
	return Lent{Upstream: u, Expected: expected}, true
}
