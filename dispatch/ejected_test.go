package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjectedNamesWhoFails(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	require.Empty(t, d.Ejected())
	var running []Assignment
	for job := range 4 * 8 { // one task for each slot
		running = append(running, add(t, d, start, normalCall, fmt.Sprint(job), 1)...)
	}
	require.Len(t, running, 4*8)
	for _, a := range running {
		r := Result{Took: 100 * time.Millisecond}
		if a.Upstream.Name == "u2" {
			r = Result{Ending: Failed, Took: time.Millisecond}
		}
		d.Finish(start, a, r, nil)
	}
	require.Equal(t, []string{"u2"}, d.Ejected())
}
