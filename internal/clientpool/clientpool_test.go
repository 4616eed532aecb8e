package clientpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestIdleClientsAreRemoved(t *testing.T) {
	opened := 0
	p := New(func(address string) *fasthttp.HostClient {
		opened++
		return &fasthttp.HostClient{Addr: address}
	})
	now := time.Unix(1_000, 0)
	first := p.Get(now, "a:1")
	require.Same(t, first, p.Get(now.Add(time.Second), "a:1"))
	for i := range 200 {
		p.Get(now, fmt.Sprintf("gone:%d", i))
	}
	require.Equal(t, 201, p.Len())
	later := now
	for range 10 {
		later = later.Add(idleTimeout / 2)
		require.Same(t, first, p.Get(later, "a:1"), "a client in use is kept")
		for i := range 64 { // sweeps every shard
			p.Get(later, fmt.Sprintf("new:%d", i))
		}
	}
	require.Equal(t, 65, p.Len())
	require.Equal(t, 265, opened)
}
