package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name   string
		points []Point
		want   Fit
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {4, 11}}, Fit{Slope: 2, Intercept: 3, R2: 1}},
		{"constant", []Point{{1, 4}, {2, 4}}, Fit{Slope: 0, Intercept: 4, R2: 1}},
		{"scattered", []Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}}, Fit{Slope: 0.8, Intercept: 0.3, R2: 0.64}},
	} {
		fit := FitLine(c.points)
		require.InDelta(t, c.want.Slope, fit.Slope, 1e-9, c.name)
		require.InDelta(t, c.want.Intercept, fit.Intercept, 1e-9, c.name)
		require.InDelta(t, c.want.R2, fit.R2, 1e-9, c.name)
	}
	require.InDelta(t, 3+2*10, Fit{Slope: 2, Intercept: 3}.At(10), 1e-9)
}
