// Package capacity measures how the memory, processor time and message sizes of
// each role grow with a driver, such as the number of upstreams. It fits a line
// to the measured points and extrapolates it to a deployment that is too large
// to run on one machine.
package capacity

// FitLine returns the least-squares line through the points. At least two points
// must have different values of the driver.
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

// At returns the cost that the fit predicts at a value of the driver.
func (f Fit) At(driver float64) float64 { return f.Intercept + f.Slope*driver }
