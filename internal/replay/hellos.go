package replay

import (
	"bufio"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
)

// hellos records, for each daemon, the last Hello message that the relays have seen.
// Hello is the first message on a connection between daemons. hellos is safe for
// concurrent use; its zero value is empty.
type hellos struct {
	mu       sync.Mutex // guards lastByVM
	lastByVM map[string]wire.Hello
}

// identify returns the name of the daemon that opened a connection, taken from the
// Hello message that starts the connection.
func (h *hellos) identify(r *bufio.Reader) (string, error) {
	hello, err := peer.PeekHello(r)
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastByVM == nil {
		h.lastByVM = map[string]wire.Hello{}
	}
	h.lastByVM[hello.VM] = *hello
	return hello.VM, nil
}

// member returns a VM as a member, with the incarnation of its last Hello message.
func (h *hellos) member(v *vm) membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return membership.Member{
		VM: v.name, Incarnation: h.lastByVM[v.name].Incarnation, DataCentre: v.dataCentre, Address: v.peerAddr,
	}
}

// view returns the membership view that a VM has once all VMs have joined.
func (c *cluster) view(self *vm) *membership.View {
	now := time.Now()
	table := membership.NewTable(now, membership.Config{
		Self: c.hellos.member(self), DataCentres: c.layout.DataCentres,
	})
	for _, v := range c.vms {
		if v != self {
			m := c.hellos.member(v)
			table.MergeFacts(now, []membership.Fact{{Member: m, Admitted: true}})
			table.AddToRanking(now, m)
		}
	}
	return table.View()
}
