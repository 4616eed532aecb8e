package daemon

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/stretchr/testify/require"
)

func viewOfOne() *membership.View {
	now := time.Unix(0, 0)
	self := membership.Member{VM: "vm0", Incarnation: 1, DataCentre: "rabat"}
	table := membership.NewTable(now, membership.Config{Self: self})
	table.Admit(now)
	return table.View()
}

func TestServicesWhoseUpstreamsAreGoneGetNone(t *testing.T) {
	live := api.VM{Name: "u1", Role: api.RoleUpstream, DataCentre: "rabat", Service: "rota-desk", Slots: 4, State: api.VMLive}
	gone := live
	gone.State = api.VMGone
	served := services{}
	notDrained := func(string) bool { return false }
	require.Len(t, served.divide(viewOfOne(), []api.VM{live}, notDrained)["rota-desk"], 1)
	for name, list := range map[string][]api.VM{"gone": {gone}, "off the list": nil} {
		upstreams, named := served.divide(viewOfOne(), list, notDrained)["rota-desk"]
		require.True(t, named, name)
		require.Empty(t, upstreams, name)
	}
}
