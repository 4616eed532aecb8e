// Package capacity measures how state, messages, processor time and memory of
// each role grow with their drivers, fits a line to the points, and projects
// it to a size that cannot be run on one machine.
package capacity

// FitLine returns the least-squares line. It needs two points with different
// drivers.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Driver / n
		meanY += p.Cost / n
	}
	var varX, varY, cov float64
	for _, p := range points {
		dx, dy := p.Driver-meanX, p.Cost-meanY
		varX += dx * dx
		varY += dy * dy
		cov += dx * dy
	}
	fit := Fit{Slope: cov / varX, R2: 1}
	fit.Intercept = meanY - fit.Slope*meanX
	if varY > 0 {
		fit.R2 = cov * cov / (varX * varY)
	}
	return fit
}

// At returns the projected cost at a driver's value.
func (f Fit) At(driver float64) float64 { return f.Intercept + f.Slope*driver }
