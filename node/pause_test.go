package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/stretchr/testify/require"
)

// pretend makes the next check find a pause.
func (p *pauseDetector) pretend(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last -= pause
}

// A dispatcher that was paused must start a new term before it sends orders.
func TestPauseStartsNewTerm(t *testing.T) {
	c := newCluster(t, 2, 1, 50*time.Millisecond)
	first := c.dispatcher()
	before := first.term.current()
	first.restartTerm(time.Now(), time.Second)
	require.Greater(t, first.term.current(), before)
	origin := c.otherThan(first)
	require.Equal(t, intake.Succeeded, origin.submit(context.Background(), "a", 2, waitTimeout).Outcome)
}

// After a pause an offer may be handled before the next tick. It must not be accepted in the
// term from before the pause.
func TestOfferAfterPauseIsAcceptedInOutdatedTerm(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	n := c.dispatcher()
	before := n.termFor("vm9")
	n.pauses.pretend(2 * maxPause)
	response := n.acceptOffer(&wire.OfferRequest{Job: "a", Origin: "vm9", Term: before, Queue: "alert", Service: "rota", Tasks: []int{0}})
	require.True(t, response.WrongTerm, "the offer names the term from before the pause")
	require.Greater(t, n.termFor("vm9"), before)
}

// After a pause a poll may be due before the next tick. In the term from before the pause it
// would renew the leases of runs that the next dispatcher counts as over.
func TestPollAfterPauseRenewsLeases(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	n := c.dispatcher()
	before := n.term.current()
	n.pauses.pretend(2 * maxPause)
	poll, due, _, _, err := n.nextPoll("u0")
	require.NoError(t, err)
	require.Greater(t, n.term.current(), before)
	if due { // unless the poller of the upstream has just claimed it
		require.Greater(t, poll.Token, before)
		require.Zero(t, poll.Until)
	}
}

// The same for a poll that an order or an adoption requests.
func TestImmediatePollAfterPauseRenewsLeases(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	n := c.dispatcher()
	before := n.term.current()
	n.pauses.pretend(2 * maxPause)
	n.pollNow(context.Background(), "u0")
	require.Greater(t, n.term.current(), before)
}

// After a pause a heartbeat may be answered before the next tick. If it named the term from
// before the pause, the next dispatcher would end its term for an outdated one.
func TestHeartbeatAfterPauseAnnouncesOutdatedTerm(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	n := c.dispatcher()
	before := n.termFor("vm9")
	n.pauses.pretend(2 * maxPause)
	require.Greater(t, n.newHeartbeat("vm9").Term, before)
}

// The term loop and the notice of a pause may start terms at the same time. The scheduler must
// end up with the token that offers name.
func TestTermsThatStartTogetherLeaveDifferentTokens(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	n := c.dispatcher()
	for range 100 {
		var starters sync.WaitGroup
		for range 4 {
			starters.Go(func() { n.startTerm(time.Now(), n.view.Load(), "test") })
		}
		starters.Wait()
		n.term.transition.Lock()
		poll, ok := n.scheduler.ImmediatePoll(time.Now(), "u0")
		token := n.term.current()
		n.term.transition.Unlock()
		require.True(t, ok)
		require.Equal(t, token, poll.Token)
	}
}
