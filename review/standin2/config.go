package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case: how long the store turns machines away, when the operator changes the
// configuration after that begins, and the platform's bounds.
const (
	refusedFor    = 9 * time.Second
	changeAfter   = time.Second
	configApply   = 2 * time.Second
	contactTime   = 3 * time.Second
	probeInterval = 100 * time.Millisecond
)

// playConfig turns away the machine of each zone that has run longest at the store, while the store
// serves the other four and the operator. The operator adds a route and drops another.
// Callers use both at the machines that the store serves.
func playConfig(w *world) error {
	ips := freeIPs(6)
	for i, name := range []string{"front-casa-1", "front-rabat-1", "front-casa-2", "front-rabat-2", "front-casa-3", "front-rabat-3"} {
		w.addDaemon(machine{name: name, zone: []string{"casa", "rabat"}[i%2], ip: ips[i], memoryMB: 284})
	}
	for i := range 4 {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), zone: []string{"casa", "rabat"}[i%2], store: w.store, world: w}
		u.start(kind{16000, 32768, []string{"a", fmt.Sprintf("r%d-1", i%2+1)}})
	}
	w.writeConfiguration(1, "/kept/", "/old/")
	time.Sleep(w.store.staleBy + time.Second) // stale reads have the first configuration
	if err := w.startDaemons(); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch
	if w.trouble {
		for _, d := range w.daemons[:2] {
			d.storeFront.refuse(true)
			w.note("the store turns %s away with 503", d.name)
		}
	}
	end := time.Now().Add(refusedFor)
	time.Sleep(changeAfter)
	acked := w.writeConfiguration(2, "/kept/", "/new/")
	var callers sync.WaitGroup
	for _, d := range w.daemons[2:] {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				w.useRoutes(d, acked)
				time.Sleep(probeInterval)
			}
		}()
	}
	callers.Wait()
	return nil
}

// useRoutes sends a job on the route that was added, and one on the route that was dropped, to a
// machine in touch.
func (w *world) useRoutes(d *daemon, acked time.Time) {
	small := job{cpu: 1000, memory: 64, count: 1, takes: 60 * time.Millisecond}
	after := time.Since(acked)
	if status := w.submit(d, callerHost, "/new/", small, 1500*time.Millisecond); status == http.StatusNotFound && after > configApply {
		w.noteBroken("CONFIG", "a request sent %d ms after the acknowledgement of version 2 is refused with 404 by %s, though its route is there", after.Milliseconds(), d.name)
	}
	after = time.Since(acked)
	if status := w.submit(d, callerHost, "/old/", small, 1500*time.Millisecond); status == http.StatusOK && after > configApply {
		w.noteBroken("CONFIG", "a request sent %d ms after the acknowledgement of version 2 is run by %s, though its route was dropped", after.Milliseconds(), d.name)
	}
}
