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

// lostMemberRetention is the time for which a member that is not heard may dispatch although the
// store no longer lists it: it may be cut off from the store as well.
const lostMemberRetention = 10 * time.Second

// silence returns the silence of a member. A member that has stopped gracefully, or whose VM has
// a newer process, does not dispatch. One that is heard and reports a term goes on with it until it
// hears this member in turn. The caller holds mu.
func (f *Fleet) silence(now time.Time, p *peer) Silence {
	age := now.Sub(p.provenAt)
	switch {
	case !p.listed && f.listRead && (p.heartbeat.Member.Draining && p.heartbeat.Term == 0 || age > lostMemberRetention):
		return SilenceNone
	case p.deaf || p.heartbeat.Term != 0 || age >= f.timeout():
		return SilenceLong
	case age >= f.timeout()*3/4:
		return SilenceShort
	}
	return SilenceNone
}
