package replay

import (
	"context"
	"slices"
	"time"
)

// Bounds of the duration of a long split. The daemons forget VMs and upstreams that they do not
// hear, or that the store does not list, after 10 s at the latest.
const (
	soakShortestSplit = 150 * time.Millisecond
	soakBriefSplit    = 1300 * time.Millisecond // the longest brief one
	soakMediumSplit   = 6 * time.Second
	soakLastingSplit  = 11 * time.Second // the shortest lasting one
	soakLongestSplit  = 18 * time.Second
)

const (
	// soakMaxSteps bounds the changes of upstreams of each sort in a long split.
	soakMaxSteps = 3
	// soakMaxStoreLead bounds the time from the loss of the store to the split.
	soakMaxStoreLead = 12 * time.Second
	// soakMinKillTime and soakMaxKillTime bound the time for which a killed VM is down. The longest
	// one exceeds the lease of the VM's entry.
	soakMinKillTime = 100 * time.Millisecond
	soakMaxKillTime = 5 * time.Second
	// soakMaxFreezeTime bounds the time for which a VM is suspended. It exceeds the time for which
	// the others remember its upstreams.
	soakMaxFreezeTime = 12 * time.Second
	// soakMaxReplaceTime bounds the time for which a replaced upstream is down.
	soakMaxReplaceTime = time.Second
	// soakLapseSpread is the time within which entries lapse after the loss of the store.
	soakLapseSpread = 2 * time.Second
	// soakHoldInterval is the mean time between two holds of requests, soakMaxHold the longest hold.
	soakHoldInterval = 300 * time.Millisecond
	soakMaxHold      = 2500 * time.Millisecond
	// soakBriefShare is the number of splits without a given duration of which one is brief.
	soakBriefShare = 4
)

// storeLoss is which groups lose the store.
type storeLoss int

const (
	storeLossAny  storeLoss = iota // drawn among the others
	storeLossEach                  // each group at random
	storeLossOne
	storeLossAll
	storeLossNone
	storeLosses // number of values
)

// splitShape restricts what is drawn for a long split.
type splitShape struct {
	brief, lasting bool // the duration is below, or above, the timers of the daemons
	stores         storeLoss
	storeFirst     bool // the store is lost before the split
	lapses         bool // entries of upstreams that a group with the store loses lapse
	second         bool // a second split of other groups begins before the first has healed
	oneWay         bool // one group is heard by no other one but hears them
	restarts       bool // VMs are killed and start again, or join, during the split
	changes        bool // upstreams are replaced, removed, or join
	stops          bool // VMs stop gracefully and start again, or are suspended, during the split
	lateRequests   bool // requests reach their origins after their callers have left
}

// longSplitKind is a kind of long splits and its name in the settings.
type longSplitKind struct {
	name  string
	shape splitShape
}

// longSplitKinds are the kinds of long splits.
var longSplitKinds = []longSplitKind{
	{"lasting", splitShape{lasting: true}},
	{"storeless", splitShape{lasting: true, stores: storeLossAll}},
	{"store-first", splitShape{storeFirst: true}},
	{"lapsing", splitShape{lasting: true, stores: storeLossOne, storeFirst: true, lapses: true}},
	{"restarts", splitShape{restarts: true}},
	{"changes", splitShape{changes: true}},
	{"stops", splitShape{stops: true}},
	{"overlapping", splitShape{second: true}},
	{"one-way", splitShape{oneWay: true}},
	{"brief", splitShape{brief: true}},
}

// openSplitKinds are the kinds that play a case which docs/design/failures.md lists as open. They
// are injected only if they are asked for.
var openSplitKinds = []longSplitKind{
	{"late-requests", splitShape{lateRequests: true}},
}

// anyLongSplit is the kind that draws a shape.
const anyLongSplit = "any"

// drawLongSplit draws a long split of any kind and returns the function that runs it.
func (s *soakTest) drawLongSplit(ctx context.Context) func() { return s.longSplitOf(ctx, anyLongSplit) }

// longSplitOf draws a long split of a kind and returns the function that runs it.
func (s *soakTest) longSplitOf(ctx context.Context, kind string) func() {
	l := s.drawShaped(s.drawShape(kind))
	return func() { s.runLongSplit(ctx, l) }
}

// drawShape returns the shape of a kind. For any kind, half of the shapes are those of another
// kind and half are mixed.
func (s *soakTest) drawShape(kind string) splitShape {
	for _, k := range slices.Concat(longSplitKinds, openSplitKinds) {
		if k.name == kind {
			return k.shape
		}
	}
	if s.rng.IntN(2) == 0 {
		return longSplitKinds[s.rng.IntN(len(longSplitKinds))].shape
	}
	one := func(share int) bool { return s.rng.IntN(share) == 0 }
	return splitShape{
		lasting: one(2), storeFirst: one(3), lapses: one(3), second: one(4), oneWay: one(6), restarts: one(2), changes: one(2), stops: one(3),
	}
}

// drawShaped draws a long split.
func (s *soakTest) drawShaped(shape splitShape) longSplit {
	first := s.drawPart(shape)
	if shape.storeFirst {
		first = first.delayed(s.drawTime(0, soakMaxStoreLead), true)
	}
	l := longSplit{parts: []splitPart{first}}
	if shape.second {
		l.parts = append(l.parts, s.drawPart(shape).delayed(s.drawTime(first.beginAt, first.endAt), false))
	}
	if shape.lapses {
		l.steps = append(l.steps, s.drawLapses(l)...)
	}
	if shape.restarts {
		l.steps = append(l.steps, s.drawRestarts(l)...)
	}
	if shape.changes {
		l.steps = append(l.steps, s.drawChanges(l)...)
	}
	if shape.stops {
		l.steps = append(l.steps, s.drawStops(l)...)
	}
	if shape.lateRequests {
		l.steps = append(l.steps, s.drawHolds(l)...)
	}
	return l
}

// delayed returns the part with a later beginning. If storeFirst is set, the store is lost at the
// same time as before.
func (p splitPart) delayed(by time.Duration, storeFirst bool) splitPart {
	p.beginAt += by
	p.endAt += by
	if !storeFirst {
		p.storeLossAt += by
	}
	return p
}

// drawTime draws a time between two others, inclusive, in milliseconds.
func (s *soakTest) drawTime(earliest, latest time.Duration) time.Duration {
	return s.randomMillis(int(earliest.Milliseconds()), int(latest.Milliseconds()))
}

// drawPart draws a separation that begins at once.
func (s *soakTest) drawPart(shape splitShape) splitPart {
	p := splitPart{split: split{groups: s.drawGroups(), oneWay: shape.oneWay, reset: s.rng.IntN(soakSplitResetShare) == 0}}
	switch {
	case shape.oneWay:
		p.how = pathCut(s.rng.IntN(int(pathCuts)))
		s.rng.Shuffle(len(p.groups), func(i, j int) { p.groups[i], p.groups[j] = p.groups[j], p.groups[i] })
	case s.rng.IntN(soakSplitRefuseShare) == 0:
		p.how = cutRefuse
	}
	s.drawStoreless(p.groups, shape.stores)
	p.endAt = s.drawDuration(shape)
	return p
}

func (s *soakTest) drawGroups() []vmGroup {
	switch s.rng.IntN(3) {
	case 0:
		return s.drawDataCentres()
	case 1:
		return s.drawSharingGroups()
	default:
		return s.drawReachingGroups()
	}
}

// drawDuration draws the duration of a separation.
func (s *soakTest) drawDuration(shape splitShape) time.Duration {
	switch {
	case shape.lasting:
		return s.drawTime(soakLastingSplit, soakLongestSplit)
	case shape.brief || s.rng.IntN(soakBriefShare) == 0:
		return s.drawTime(soakShortestSplit, soakBriefSplit)
	case s.rng.IntN(2) == 0:
		return s.drawTime(soakBriefSplit, soakMediumSplit)
	default:
		return s.drawTime(soakMediumSplit, soakLongestSplit)
	}
}

// drawStoreless draws which groups lose the store.
func (s *soakTest) drawStoreless(groups []vmGroup, loss storeLoss) {
	if loss == storeLossAny {
		loss = 1 + storeLoss(s.rng.IntN(int(storeLosses)-1))
	}
	one := s.rng.IntN(len(groups))
	for i := range groups {
		switch loss {
		case storeLossEach:
			groups[i].storeless = s.rng.IntN(2) == 0
		case storeLossOne:
			groups[i].storeless = i == one
		case storeLossAll:
			groups[i].storeless = true
		}
	}
}

// drawLapses draws when the entries lapse of the upstreams that groups with the store lose in the
// first part: with the other side, they have lost the store too.
func (s *soakTest) drawLapses(l longSplit) []splitStep {
	first, lapsed := l.parts[0], map[*soakUpstream]bool{}
	var steps []splitStep
	for _, g := range first.groups {
		for _, u := range g.lost {
			if g.storeless || lapsed[u] {
				continue
			}
			lapsed[u] = true
			at := first.storeLossAt + s.drawTime(0, soakLapseSpread)
			steps = append(steps, splitStep{at: at, duration: max(first.endAt-at, 0), begin: func() func() { return s.removeEntry(u) }})
		}
	}
	return steps
}

// drawRestarts draws VMs of one group that are killed and start again during the split, so that
// their new processes hear no other group, and lets the absent ones join.
func (s *soakTest) drawRestarts(l longSplit) []splitStep {
	begin := l.parts[0].beginAt
	var steps []splitStep
	for _, v := range s.drawMembers(l.parts[0].groups) {
		steps = append(steps, splitStep{
			at: s.drawTime(begin, l.end()), duration: s.drawTime(soakMinKillTime, soakMaxKillTime), begin: func() func() { return s.kill(v) },
		})
	}
	for _, v := range s.absent.vms {
		steps = append(steps, splitStep{at: s.drawTime(begin, l.end()), begin: func() func() { return s.joinVM(v) }})
	}
	s.absent.vms = nil
	return steps
}

// drawMembers draws some VMs of one group, at least one.
func (s *soakTest) drawMembers(groups []vmGroup) []*soakVM {
	vms := groups[s.rng.IntN(len(groups))].vms
	drawn := make([]*soakVM, 0, len(vms))
	for _, index := range s.rng.Perm(len(vms))[:1+s.rng.IntN(len(vms))] {
		drawn = append(drawn, vms[index])
	}
	return drawn
}

// drawStops draws VMs of one group that stop gracefully and start again during the split, and one
// VM of any group that is suspended.
func (s *soakTest) drawStops(l longSplit) []splitStep {
	begin := l.parts[0].beginAt
	var steps []splitStep
	for _, v := range s.drawMembers(l.parts[0].groups) {
		steps = append(steps, splitStep{
			at: s.drawTime(begin, l.end()), duration: s.drawTime(soakMinKillTime, soakMaxKillTime), begin: func() func() { return s.stopGracefully(v) },
		})
	}
	v := s.vms[s.rng.IntN(len(s.vms))]
	return append(steps, splitStep{
		at: s.drawTime(begin, l.end()), duration: s.drawTime(soakMinKillTime, soakMaxFreezeTime), begin: func() func() { return s.freeze(v) },
	})
}

// drawChanges draws upstreams that are replaced or removed during the split, and lets the absent
// ones join.
func (s *soakTest) drawChanges(l longSplit) []splitStep {
	begin := l.parts[0].beginAt
	at := func() time.Duration { return s.drawTime(begin, l.end()) }
	var steps []splitStep
	for range 1 + s.rng.IntN(soakMaxSteps) {
		u, down := s.upstreams[s.rng.IntN(len(s.upstreams))], s.drawTime(0, soakMaxReplaceTime)
		steps = append(steps, splitStep{at: at(), begin: func() func() { return s.replaceUpstream(u, down) }})
	}
	for range 1 + s.rng.IntN(soakMaxSteps) {
		u, removedAt := s.upstreams[s.rng.IntN(len(s.upstreams))], at()
		steps = append(steps, splitStep{at: removedAt, duration: l.end() - removedAt, begin: func() func() { return s.removeEntry(u) }})
	}
	for _, u := range s.absent.upstreams {
		steps = append(steps, splitStep{at: at(), begin: func() func() { return s.joinUpstream(u) }})
	}
	s.absent.upstreams = nil
	return steps
}

// drawHolds draws when requests of callers to VMs are held. Only attempts that lose their connection
// unnoticed pass through the link that holds them.
func (s *soakTest) drawHolds(l longSplit) []splitStep {
	var steps []splitStep
	for range int(l.end() / soakHoldInterval) {
		v := s.vms[s.rng.IntN(len(s.vms))]
		steps = append(steps, splitStep{at: s.drawTime(0, l.end()), duration: s.drawTime(0, soakMaxHold), begin: func() func() { return s.holdRequests(v) }})
	}
	return steps
}
