package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// SetPeers sets the VMs that may lend.
func (d *Dispatcher) SetPeers(peers []Peer) {
	d.peers.Store(&peers)
	for _, p := range *d.pools.Load() {
		p.setPeers(peers)
	}
}

func (p *pool) setPeers(peers []Peer) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.peers.set(peers)
}

// Borrow returns the asks that are due, by the VM to ask. Each is followed by
// one call of Borrowed.
func (d *Dispatcher) Borrow(now time.Time) map[string]Ask {
	var asks map[string]Ask
	if d.config.LoanTime == 0 {
		return nil
	}
	for service, p := range *d.pools.Load() {
		ask, ok := p.ask()
		if !ok {
			continue
		}
		lender, ok := p.chooseLender(now, ask)
		if !ok {
			continue
		}
		ask.Service = service
		if asks == nil {
			asks = map[string]Ask{}
		}
		asks[lender] = ask
	}
	return asks
}

// ask returns what would shorten the queue, where the expected wait is worth
// the messages.
func (p *pool) ask() (Ask, bool) {
	waiting := p.waiting.Load()
	o := p.outlook.Load()
	call := p.lastCall.Load()
	if waiting == 0 || call == nil || len(o.levels) == 0 {
		return Ask{}, false
	}
	base := call.base()
	wait := float64(waiting) * base / o.levels[len(o.levels)-1].rate
	if wait < p.config.BorrowWait.Seconds() {
		return Ask{}, false
	}
	ask := Ask{Call: call.name, Slots: int(min(waiting, maxAsk))}
	if shard := p.fastestSlots(0); shard >= 0 {
		// Slots are free, but the tasks wait for faster ones.
		bucket := min(p.slots[shard].best.Load(), bucketCount-1)
		ask.Within = time.Duration(base / speedOfBucket[bucket] * float64(time.Second))
	}
	return ask, true
}

// chooseLender names the VM to ask and pays for it from the budget.
func (p *pool) chooseLender(now time.Time, ask Ask) (string, bool) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	needed := float64(loanMessages)
	if ask.Within > 0 {
		needed += spareBudget
	}
	if p.ledger.asking || p.ledger.budget < needed {
		return "", false
	}
	lender, ok := p.ledger.peers.choose(now)
	if ok {
		p.ledger.asking = true
		p.ledger.budget -= loanMessages
	}
	return lender, ok
}

// Borrowed enters the answer of a lender; a lender that did not answer gives
// an empty loan.
func (d *Dispatcher) Borrowed(now time.Time, lender string, ask Ask, loan Loan) []Assignment {
	p := d.pool(ask.Service)
	t := &taken{lender: lender, number: loan.Number, until: now.Add(loan.For)}
	call := p.calls.named(ask.Call)
	n := 0
	for _, lent := range loan.Slots {
		n += lent.Upstream.Slots
		t.slots = append(t.slots, p.borrowed(t, lent, call))
	}
	p.ledger.mu.Lock()
	p.ledger.asking = false
	p.ledger.peers.report(now, lender, n, loan.Left)
	if n > 0 {
		p.ledger.taken = append(p.ledger.taken, t)
	}
	p.ledger.mu.Unlock()
	d.borrowed.Add(int64(n))
	return p.assign(now, 0, nil)
}

// borrowed adds the slots of one upstream of a loan.
func (p *pool) borrowed(t *taken, lent Lent, call *callModel) *slots {
	u := lent.Upstream
	shard := p.slotsOf(u.Name)
	c := &slots{shard: shard, upstream: &u, limit: u.Slots, allowed: u.Slots, loan: t}
	c.model.logSpeed = call.logTime.load() - math.Log(max(lent.Expected.Seconds(), minSeconds))
	c.model.samples = lentSamples
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.known[t.key(u.Name)] = c
	shard.relist(c)
	return c
}

// lentSamples is the evidence that a lender's estimate counts for.
const lentSamples = 20

// key names the slots of a loan in their shard.
func (t *taken) key(upstream string) string {
	return fmt.Sprintf("%s/%s/%d", upstream, t.lender, t.number)
}

// Returns gives back the borrowed slots whose loan has ended and that have
// become free; a loan that is not used ends at once. Slots are returned when
// at least half of those left are free, so that a loan takes few messages.
func (d *Dispatcher) Returns(now time.Time) []Return {
	var returns []Return
	for service, p := range *d.pools.Load() {
		p.reclaim(now)
		idle := p.waiting.Load() == 0
		p.ledger.mu.Lock()
		loans := slices.Clone(p.ledger.taken)
		p.ledger.mu.Unlock()
		var ended []*taken
		for _, t := range loans {
			if now.Before(t.until) && !(idle && t.unused()) {
				continue
			}
			r, done := t.collect()
			if len(r.Slots) > 0 {
				r.Service = service
				returns = append(returns, r)
			}
			if done {
				ended = append(ended, t)
			}
		}
		p.forget(ended)
	}
	return returns
}

func (p *pool) forget(ended []*taken) {
	if len(ended) == 0 {
		return
	}
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.taken = slices.DeleteFunc(p.ledger.taken, func(t *taken) bool { return slices.Contains(ended, t) })
}

// unused tells whether no slot of the loan runs a task.
func (t *taken) unused() bool {
	_, used := t.count()
	return used == 0
}

// count returns the slots of the loan and how many run tasks.
func (t *taken) count() (limit, used int) {
	for _, c := range t.slots {
		c.shard.mu.Lock()
		limit += c.limit
		used += c.used
		c.shard.mu.Unlock()
	}
	return limit, used
}

// collect stops new starts and takes the free slots out of the loan. done
// tells that none is left.
func (t *taken) collect() (r Return, done bool) {
	limit, used := t.count()
	r = Return{Lender: t.lender, Number: t.number}
	enough := 2*(limit-used) >= limit
	done = true
	for _, c := range t.slots {
		c.shard.mu.Lock()
		c.closed = true
		if free := c.limit - c.used; enough && free > 0 {
			c.limit -= free
			r.Slots = append(r.Slots, ReturnedSlots{Upstream: c.upstream.Name, Slots: free})
		}
		c.shard.relist(c)
		if c.limit == 0 {
			delete(c.shard.known, t.key(c.upstream.Name))
		}
		done = done && c.limit == 0
		c.shard.mu.Unlock()
	}
	return r, done
}
