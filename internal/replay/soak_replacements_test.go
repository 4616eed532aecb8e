package replay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// newReplacementTest returns a VM and serving upstreams, the last of which is spare.
func newReplacementTest(t *testing.T) *soakTest {
	s := newSplitTest(t, 1, nil, nil)
	s.options = SoakOptions{Upstreams: 2}
	ctx, stop := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		stop()
		require.NoError(t, g.Wait())
	})
	for i := range s.options.Upstreams + s.options.spareCount() {
		require.NoError(t, s.addUpstream(ctx, g, i))
	}
	v := &soakVM{name: "vm0", dataCentre: soakDataCentres[0]}
	s.vms = append(s.vms, v)
	require.NoError(t, s.addPaths(v))
	for _, p := range v.paths {
		t.Cleanup(p.relay.close)
	}
	s.setDown(s.spares[0], true)
	return s
}

// accepts reports whether a VM can connect to an upstream.
func (s *soakTest) accepts(u *soakUpstream) bool {
	conn, err := net.Dial("tcp", s.vms[0].paths[u.entry.Name].relay.address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// hasEntries reports whether the store lists a number of upstreams.
func (s *soakTest) hasEntries(t *testing.T, count int) bool {
	items, _, err := store.List(t.Context(), s.store, "", false)
	require.NoError(t, err)
	return len(items) == count
}

// TestReplacedUpstreamLeavesAfterSpareOneHasJoined checks what the VMs and the store see of a
// replacement.
func TestReplacedUpstreamLeavesAfterSpareOneHasJoined(t *testing.T) {
	s := newReplacementTest(t)
	spare := s.spares[0]
	require.Eventually(t, func() bool { return s.hasEntries(t, 2) }, time.Minute, time.Millisecond)
	require.False(t, s.accepts(spare))
	require.Same(t, spare, s.joinSpare())
	require.True(t, s.accepts(spare))
	require.True(t, s.hasEntries(t, 3))
	require.Nil(t, s.joinSpare(), "no other is spare")

	old := s.joinedUpstream(2, spare)
	require.Same(t, s.upstreams[0], old)
	require.Same(t, s.upstreams[1], s.joinedUpstream(0, spare), "the first one drains")
	require.Nil(t, s.joinedUpstream(0, spare), "the others drain")
	s.retire(old)
	require.Eventually(t, func() bool { return s.hasEntries(t, 2) && !s.accepts(old) }, time.Minute, time.Millisecond)
	require.Equal(t, []*soakUpstream{old}, s.spares)
}

// TestOnlyOtherFaultsHaveSpareUpstreams checks that the series of splits keep their upstreams.
func TestOnlyOtherFaultsHaveSpareUpstreams(t *testing.T) {
	require.Equal(t, 6, SoakOptions{Upstreams: 24}.spareCount())
	require.Equal(t, 6, SoakOptions{Upstreams: 24, OnlyReplacements: true}.spareCount())
	require.Equal(t, 1, SoakOptions{Upstreams: 2}.spareCount())
	require.Zero(t, SoakOptions{Upstreams: 24, OnlySplits: true}.spareCount())
	require.Zero(t, SoakOptions{Upstreams: 24, OnlyLongSplits: "any"}.spareCount())
}
