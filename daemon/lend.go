package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// lender is a dispatcher that borrows and lends slots; the baselines do not.
type lender interface {
	SetPeers(peers []dispatch.Peer)
	Borrow(now time.Time) map[string]dispatch.Ask
	Borrowed(now time.Time, lender string, ask dispatch.Ask, loan dispatch.Loan) []dispatch.Assignment
	Returns(now time.Time) []dispatch.Return
	Lend(now time.Time, ask dispatch.Ask) dispatch.Loan
	TakeBack(now time.Time, r dispatch.Return) []dispatch.Assignment
	BorrowedSlots() int64
	Ejections() int64
	Ejected() []string
}

// setPeers tells the dispatcher which VMs may lend.
func (d *Daemon) setPeers() {
	l, lends := d.dispatcher.(lender)
	if !lends {
		return
	}
	view := d.node.View()
	var peers []dispatch.Peer
	for _, dataCentre := range view.DataCentres {
		for _, m := range view.Members(dataCentre) {
			if m.VM != view.Self.VM {
				peers = append(peers, dispatch.Peer{VM: m.VM, Near: dataCentre == view.Self.DataCentre})
			}
		}
	}
	l.SetPeers(peers)
}

// addressOf returns the peer address of a VM, or an empty text.
func (d *Daemon) addressOf(vm string) string {
	view := d.node.View()
	for _, dataCentre := range view.DataCentres {
		for _, m := range view.Members(dataCentre) {
			if m.VM == vm {
				return m.Address
			}
		}
	}
	return ""
}

// lend returns ended loans and asks for new ones.
func (d *Daemon) lend(now time.Time) {
	l, lends := d.dispatcher.(lender)
	if !lends {
		return
	}
	for _, r := range l.Returns(now) {
		go d.sendReturn(r)
	}
	d.borrow(l, now)
}

// borrowNow asks without waiting for the next tick, since a job was added.
func (d *Daemon) borrowNow() {
	if l, lends := d.dispatcher.(lender); lends {
		d.borrow(l, time.Now())
	}
}

// borrow sends the asks that are due, each on its own goroutine: at most one
// per service is on its way.
func (d *Daemon) borrow(l lender, now time.Time) {
	for vm, ask := range l.Borrow(now) {
		go d.sendAsk(l, vm, ask)
	}
}

// sendAsk asks one peer. A peer that does not answer lends nothing; slots of an
// answer that was lost come back when the lender reclaims them.
func (d *Daemon) sendAsk(l lender, vm string, ask dispatch.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	request := &wire.LoanRequest{
		Service: ask.Service, Call: ask.Call, Slots: ask.Slots, WithinUS: ask.Within.Microseconds(),
	}
	var response wire.LoanResponse
	loan := dispatch.Loan{}
	if err := d.peers.Call(ctx, d.addressOf(vm), request, &response); err == nil {
		loan = loanOf(ask.Service, &response)
	}
	d.place(l.Borrowed(time.Now(), vm, ask, loan))
}

// loanTimeout bounds the wait for a loan; later the queue has moved on.
const loanTimeout = 100 * time.Millisecond

func loanOf(service string, m *wire.LoanResponse) dispatch.Loan {
	loan := dispatch.Loan{Number: m.Number, For: time.Duration(m.ForUS) * time.Microsecond, Left: m.Left}
	for _, s := range m.Slots {
		loan.Slots = append(loan.Slots, dispatch.Lent{
			Upstream: dispatch.Upstream{Name: s.Upstream, Service: service, Address: s.Address, Rack: s.Rack, Slots: s.Slots},
			Expected: time.Duration(s.ExpectedUS) * time.Microsecond,
		})
	}
	return loan
}

func (d *Daemon) handleLoan(_ context.Context, _ *wire.Hello, m *wire.LoanRequest) wire.Message {
	l, lends := d.dispatcher.(lender)
	if !lends {
		return &wire.LoanResponse{}
	}
	loan := l.Lend(time.Now(), dispatch.Ask{
		Service: m.Service, Call: m.Call, Slots: m.Slots, Within: time.Duration(m.WithinUS) * time.Microsecond,
	})
	response := &wire.LoanResponse{Number: loan.Number, ForUS: loan.For.Microseconds(), Left: loan.Left}
	for _, s := range loan.Slots {
		response.Slots = append(response.Slots, wire.LentSlots{
			Upstream: s.Upstream.Name, Address: s.Upstream.Address, Rack: s.Upstream.Rack, Slots: s.Upstream.Slots,
			ExpectedUS: s.Expected.Microseconds(),
		})
	}
	return response
}

// sendReturn gives slots back. A return that is lost is made up for when the
// lender reclaims the slots.
func (d *Daemon) sendReturn(r dispatch.Return) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Network.PeerTimeout)
	defer cancel()
	request := &wire.ReturnRequest{Service: r.Service, Number: r.Number}
	for _, s := range r.Slots {
		request.Slots = append(request.Slots, wire.ReturnedSlots{Upstream: s.Upstream, Slots: s.Slots})
	}
	var response wire.ReturnResponse
	if err := d.peers.Call(ctx, d.addressOf(r.Lender), request, &response); err != nil {
		d.metrics.returnsLost.Add(1)
	}
}

func (d *Daemon) handleReturn(_ context.Context, _ *wire.Hello, m *wire.ReturnRequest) wire.Message {
	l, lends := d.dispatcher.(lender)
	if !lends {
		return &wire.ReturnResponse{}
	}
	r := dispatch.Return{Service: m.Service, Number: m.Number}
	for _, s := range m.Slots {
		r.Slots = append(r.Slots, dispatch.ReturnedSlots{Upstream: s.Upstream, Slots: s.Slots})
	}
	d.place(l.TakeBack(time.Now(), r))
	return &wire.ReturnResponse{Accepted: true}
}
