package node

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A dispatcher of an earlier release ignores the constraints of an offer; it must not find an
// upstream for it. Constraints that are lost on the way would not be kept.
func TestOfferLosesConstraints(t *testing.T) {
	for name, c := range map[string]struct {
		constraints *scheduler.Constraints
		service     string // as an earlier release reads it
	}{
		"none":          {nil, "s"},
		"affinity":      {&scheduler.Constraints{Rack: "r1", SpreadFactor: 2}, "s"},
		"same rack":     {&scheduler.Constraints{SameRack: true, SpreadFactor: 1.5}, "s"},
		"requires":      {&scheduler.Constraints{Label: "b", SpreadFactor: 1}, ""},
		"anti-affinity": {&scheduler.Constraints{MaxPerUpstream: 2, SpreadFactor: 1, Completed: map[int]string{0: "u1", 3: ""}}, ""},
	} {
		request := &wire.OfferRequest{Service: "s"}
		addConstraints(request, c.constraints, map[int]string{0: "u1", 3: ""})
		require.Equal(t, c.service, request.Service, name)
		encoded, err := request.MarshalMsg(nil)
		require.NoError(t, err)
		var decoded wire.OfferRequest
		_, err = decoded.UnmarshalMsg(encoded)
		require.NoError(t, err)
		service, constraints := constraintsOf(&decoded)
		require.Equal(t, "s", service, name)
		require.Equal(t, c.constraints, constraints, name)
	}
}
