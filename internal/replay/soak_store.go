package replay

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// soakMinWatch and soakMaxWatch bound the changes that the store returns for a watch. They are
	// given as the time in which the upstreams make so many.
	soakMinWatch = 800 * time.Millisecond
	soakMaxWatch = 2500 * time.Millisecond
	// soakMaxStale bounds the age of listings that may be stale.
	soakMaxStale = 3 * time.Second
)

// limitStore draws how many changes the store returns at a time and how old its stale listings are.
// It draws from its own generator, so that the faults of a seed stay the same.
func (s *soakTest) limitStore(ctx context.Context, g *errgroup.Group) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 4))
	watch := soakMinWatch + time.Duration(rng.Int64N(int64(soakMaxWatch-soakMinWatch)))
	limit := max(1, int(time.Duration(s.options.Upstreams)*watch/soakEntryInterval))
	age := time.Duration(rng.Int64N(int64(soakMaxStale)))
	s.recordEvent("the store returns up to %d changes at a time, stale listings are up to %v old", limit, age.Round(time.Millisecond))
	s.store.SetWatchLimit(limit)
	g.Go(func() error { return s.store.ServeStaleReads(ctx, age) })
}
