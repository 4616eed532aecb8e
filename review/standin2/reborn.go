package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case: how long the upstream has no path to the store, when it crashes after that
// begins, and how long it is down.
const (
	cutFor     = 5 * time.Second
	crashAfter = 500 * time.Millisecond
	downFor    = 500 * time.Millisecond
	loadFor    = 12 * time.Second
	jobEvery   = 140 * time.Millisecond
)

// playReborn cuts one upstream off from the store. It crashes behind the cut and starts again under
// its ID, with the equipment of another kind. A part of the
// jobs requires the label of the former kind.
func playReborn(w *world) error {
	ips := freeIPs(2)
	for i, zone := range []string{"casa", "rabat"} {
		w.addDaemon(machine{name: "front-" + zone + "-1", zone: zone, ip: ips[i], memoryMB: 284})
	}
	var all []*upstream
	for i := range 6 {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), zone: []string{"casa", "rabat"}[i%2], store: w.store, world: w}
		u.start(kindOf(i == 0, i))
		all = append(all, u)
	}
	w.writeConfiguration(1, "/swap/")
	time.Sleep(time.Second)
	if err := w.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // upstreams that have just joined get no tasks
	var callers sync.WaitGroup
	if w.trouble {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(2 * time.Second)
			w.rebirth(all[0])
		}()
	}
	end := time.Now().Add(loadFor)
	for i := 0; time.Now().Before(end); i++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			j := job{cpu: 6800, memory: 64, count: 2, takes: 500 * time.Millisecond}
			if i%4 == 0 {
				j.cpu, j.requires = 1000, largeLabel
			}
			w.submit(w.daemons[i%2], callerHost, "/swap/", j, 1500*time.Millisecond)
		}()
		time.Sleep(jobEvery)
	}
	callers.Wait()
	return nil
}

// largeLabel is the label of the larger kind.
const largeLabel = "b"

// kindOf returns the equipment of the larger or of the smaller kind.
func kindOf(large bool, rack int) kind {
	if large {
		return kind{16000, 32768, []string{largeLabel, fmt.Sprintf("r1-%d", rack)}}
	}
	return kind{8000, 16384, []string{"a", fmt.Sprintf("r1-%d", rack)}}
}

// rebirth is the disruption.
func (w *world) rebirth(u *upstream) {
	w.note("upstream %s is cut off from the store", u.id)
	u.setCut(true)
	time.Sleep(crashAfter)
	u.crash()
	time.Sleep(downFor)
	u.start(kindOf(false, 0))
	time.Sleep(cutFor - crashAfter - downFor)
	w.note("upstream %s reaches the store again", u.id)
	u.setCut(false)
}
