package fleet

import "time"

// Silence tells for how long a member that may dispatch has not been heard.
type Silence uint8

// Values of Silence.
const (
	// SilenceNone means that heartbeats passed in both directions recently.
	SilenceNone Silence = iota
	// SilenceShort means that heartbeats are missing. The member may soon count this one as
	// unreachable and dispatch.
	SilenceShort
	// SilenceLong means that the member may dispatch.
	SilenceLong
)

// silence returns the silence of a member. A member that has gone does not dispatch. One that is
// heard and reports a term goes on with it until it hears this member in turn. The caller holds mu.
func (f *Fleet) silence(now time.Time, p *peer) Silence {
	age := now.Sub(p.provenAt)
	switch {
	case f.gone(p):
		return SilenceNone
	case p.deaf || p.heartbeat.Term != 0 || age >= f.timeout():
		return SilenceLong
	case age >= f.timeout()*3/4:
		return SilenceShort
	}
	return SilenceNone
}

// gone reports whether it is proven that a member dispatches no longer. Neither the time for which
// it has not been heard nor the end of its entry in the store proves that: a split that cuts it off
// from the store as well looks the same, and may last for any time. Nor does the announcement of a
// graceful stop, since requests arrive until its end, if the roster can prove that. A later
// process of its VM replaces it. The caller holds mu.
func (f *Fleet) gone(p *peer) bool {
	m := p.heartbeat.Member
	stopped := (p.heard || !f.rosterRead) && !p.rostered && !p.listed && f.listRead && m.Draining && p.heartbeat.Term == 0
	return stopped || p.replaced || p.removed
}
