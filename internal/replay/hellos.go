package replay

import (
	"bufio"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
)

// hellos remembers how the daemons present themselves at the relays. It is
// safe for concurrent use; the zero value is empty.
type hellos struct {
	mu   sync.Mutex // guards byVM
	byVM map[string]wire.Hello
}

// identify reads the name of a daemon from the hello that opens its
// connection.
func (h *hellos) identify(r *bufio.Reader) (string, error) {
	hello, err := peer.PeekHello(r)
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byVM == nil {
		h.byVM = map[string]wire.Hello{}
	}
	h.byVM[hello.VM] = *hello
	return hello.VM, nil
}

// member returns the incarnation that a VM presented last.
func (h *hellos) member(v *vm) membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return membership.Member{
		VM: v.name, Incarnation: h.byVM[v.name].Incarnation, DataCentre: v.dataCentre, Address: v.address,
	}
}

// view returns what a VM knows of the members once all have joined.
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
