package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An origin that relies on the state of another dispatcher or on an old one would reject jobs
// although capacity is free.
func TestOriginRejectsOnlyByRecentState(t *testing.T) {
	at := time.Unix(1000, 0)
	p := &Published{VM: "vm1", Term: 7, At: at, Waits: LongWaits([]QueueReport{{Queue: "q", Wait: time.Second, Target: 200 * time.Millisecond}, {Queue: "r", Wait: time.Millisecond, Target: time.Second}}, true)}
	for _, c := range []struct {
		name    string
		p       *Published
		vm      string
		term    uint64
		queue   string
		after   time.Duration
		target  time.Duration
		rejects bool
	}{
		{"hopeless", p, "vm1", 7, "q", 300 * time.Millisecond, 200 * time.Millisecond, true},
		{"old state", p, "vm1", 7, "q", 301 * time.Millisecond, 200 * time.Millisecond, false},
		{"another dispatcher", p, "vm2", 7, "q", 0, 200 * time.Millisecond, false},
		{"another term", p, "vm1", 8, "q", 0, 200 * time.Millisecond, false},
		{"a longer target time", p, "vm1", 7, "q", 0, 2 * time.Second, false},
		{"a queue with a short wait", p, "vm1", 7, "r", 0, 0, false},
		{"nothing published", nil, "vm1", 7, "q", 0, 0, false},
	} {
		_, rejects := c.p.Rejects(at.Add(c.after), c.vm, c.term, 100*time.Millisecond, c.queue, 100*time.Millisecond, c.target)
		require.Equal(t, c.rejects, rejects, c.name)
	}
}

// A division that is not max-min fair lets a large flow take from small ones.
func TestDivide(t *testing.T) {
	small, large := &demand{wanted: 10}, &demand{wanted: 100}
	low := &demand{priority: 1, wanted: 100}
	divide([]*demand{small, large, low}, 105)
	require.InDelta(t, 10, small.rate, 0.01)
	require.Greater(t, (small.rate+large.rate)/110, low.rate/100, "priority keeps an advantage")
	require.InDelta(t, 105, small.rate+large.rate+low.rate, 0.1)
	divide([]*demand{small, large, low}, 1000)
	require.Equal(t, 100.0, large.rate)
}

// Names of accounts come from callers.
func TestStateIsBounded(t *testing.T) {
	c := New()
	for i := range 100_000 {
		c.Admit(0, &Job{Queue: "q", Account: time.Duration(i).String(), Work: 1}, true)
		c.Admit(0, &Job{Queue: time.Duration(i).String(), Account: "a", Work: 1}, true)
	}
	queues, accounts := 0, 0
	for _, s := range c.shards {
		queues += len(s.queues)
		for _, q := range s.queues {
			accounts = max(accounts, len(q.accounts))
		}
	}
	require.LessOrEqual(t, queues, shardCount*maxQueues)
	require.LessOrEqual(t, accounts, maxAccounts+1)
}

// Origins rejected jobs of a burst that the dispatcher would have admitted: it counts late answers
// as useful until capacity is scarce. The load pattern is a second of work that arrives at once.
func TestOriginRejectsWhileCapacityIsNotScarce(t *testing.T) {
	const capacity, target = 1000.0, 100 * time.Millisecond
	c := New()
	admit := func(now time.Duration, work int64) Reason {
		return c.Admit(now, &Job{Queue: "q", Account: "a", Work: work, Due: now + target, End: now + target, LateEnd: now + 3*target, Target: target}, true)
	}
	at := 20 * time.Millisecond
	c.Update(at, capacity)
	c.Add(c.Slot(at+target/2, false), capacity)
	admit(at, 1)
	c.Update(2*at, capacity)
	require.True(t, c.Short(2*at))
	queues, scarce := c.Report(2 * at)
	require.Greater(t, queues[0].Wait, target)
	require.Empty(t, LongWaits(queues, scarce))
	for now := 3 * at; now < time.Second; now += at { // three times the capacity is requested
		admit(now, 60)
		c.Add(c.Slot(now+target/2, false), capacity)
		c.Update(now, capacity)
	}
	require.NotEmpty(t, LongWaits(c.Report(time.Second)))
}
