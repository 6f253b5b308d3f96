package sizing

import (
	"math"
	"slices"
)

// point is one measured value at a size.
type point struct{ x, y float64 }

// line is a least-squares fit of points.
type line struct {
	slope, intercept float64
	// r2 is the coefficient of determination; 1 for points without variance.
	r2 float64
}

// fit returns the least-squares line through points of at least two sizes.
func fit(points []point) line {
	var n, sumX, sumY float64
	for _, p := range points {
		n++
		sumX += p.x
		sumY += p.y
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
		yy += (p.y - meanY) * (p.y - meanY)
	}
	l := line{slope: xy / xx, r2: 1}
	l.intercept = meanY - l.slope*meanX
	if yy > 0 {
		l.r2 = xy * xy / (xx * yy)
	}
	return l
}

// exponent returns the slope of the logarithms: 1 for a value proportional to
// the size, 2 for one proportional to its square.
func exponent(points []point) float64 {
	logs := make([]point, len(points))
	for i, p := range points {
		logs[i] = point{math.Log(p.x), math.Log(p.y)}
	}
	return fit(logs).slope
}

// at returns the value of the line at a size.
func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// crossing returns the size at which the line reaches a limit, or infinity
// when it never does.
func (l line) crossing(limit float64) float64 {
	if l.slope <= 0 {
		return math.Inf(1)
	}
	return max(0, (limit-l.intercept)/l.slope)
}

// spread returns the relative difference between two measurements of a slope.
func spread(a, b float64) float64 {
	if a == b {
		return 0
	}
	return 2 * math.Abs(a-b) / (math.Abs(a) + math.Abs(b))
}

// relativeChange returns the change of the line over the sizes of the points,
// relative to the largest absolute value of a point.
func (l line) relativeChange(points []point) float64 {
	low, high, largest := math.Inf(1), math.Inf(-1), 0.0
	for _, p := range points {
		low, high, largest = min(low, p.x), max(high, p.x), max(largest, math.Abs(p.y))
	}
	if largest == 0 {
		return 0
	}
	return math.Abs(l.slope) * (high - low) / largest
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
