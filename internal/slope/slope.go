// Package slope extrapolates measurements at a few sizes linearly to a larger
// size.
//
// Tests and the load tool print one line for each size, anywhere in their output:
//
//	slope: control instances=20 messages_per_s=16 bytes_per_s=933
//
// The first word is the series and the first pair the size. The other pairs are
// metrics measured at this size. Lines may be repeated with other values, and the
// repetitions give the median and the range.
//
// # Usage
//
//	me, err := slope.Read(os.Stdin)
//	if fi, ok := me.Fit("control", "bytes_per_s"); ok {
//		fmt.Println(fi.At(340))
//	}
package slope

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// prefix marks the start of a measurement within a line.
const prefix = "slope: "

// key identifies a measurement, which may have several repetitions.
type key struct {
	series, metric string
	size           float64
}

// Measurements holds the values that Read found. Use Read to create it.
type Measurements struct{ values map[key][]float64 }

// Point is one size with the median, minimum and maximum of its repetitions.
type Point struct {
	Size, Median, Least, Most float64
}

// Fit is a linear fit to the points of one metric.
type Fit struct {
	Points           []Point
	Intercept, Slope float64
}

// Read extracts measurements from test output and ignores other lines. It returns
// an error for a malformed measurement.
func Read(rd io.Reader) (Measurements, error) {
	me := Measurements{values: make(map[key][]float64)}
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		_, text, found := strings.Cut(sc.Text(), prefix)
		if !found {
			continue
		}
		if err := me.add(strings.Fields(text)); err != nil {
			return me, fmt.Errorf("%q: %w", sc.Text(), err)
		}
	}
	return me, sc.Err()
}

func (me Measurements) add(fields []string) error {
	if len(fields) < 3 {
		return fmt.Errorf("a name, a size and a metric are needed")
	}
	_, size, err := parsePair(fields[1])
	if err != nil {
		return err
	}
	for _, field := range fields[2:] {
		metric, value, err := parsePair(field)
		if err != nil {
			return err
		}
		ke := key{series: fields[0], metric: metric, size: size}
		me.values[ke] = append(me.values[ke], value)
	}
	return nil
}

// parsePair parses a field of the form name=number.
func parsePair(field string) (string, float64, error) {
	name, text, found := strings.Cut(field, "=")
	if !found {
		return "", 0, fmt.Errorf("%q is not like name=number", field)
	}
	value, err := strconv.ParseFloat(text, 64)
	return name, value, err
}

// Points returns the points of a metric in ascending order of size.
func (me Measurements) Points(series, metric string) []Point {
	var points []Point
	for ke, values := range maps.All(me.values) {
		if ke.series == series && ke.metric == metric {
			sorted := slices.Sorted(slices.Values(values))
			points = append(points, Point{Size: ke.size, Median: sorted[len(sorted)/2], Least: sorted[0], Most: sorted[len(sorted)-1]})
		}
	}
	slices.SortFunc(points, func(le, ri Point) int { return cmp.Compare(le.Size, ri.Size) })
	return points
}

// Fit fits a line to the medians of a metric by least squares. It returns false if
// there are fewer than two sizes.
func (me Measurements) Fit(series, metric string) (Fit, bool) {
	fi := Fit{Points: me.Points(series, metric)}
	if len(fi.Points) < 2 {
		return fi, false
	}
	var meanSize, meanValue float64
	for _, po := range fi.Points {
		meanSize += po.Size / float64(len(fi.Points))
		meanValue += po.Median / float64(len(fi.Points))
	}
	var covariance, variance float64
	for _, po := range fi.Points {
		covariance += (po.Size - meanSize) * (po.Median - meanValue)
		variance += (po.Size - meanSize) * (po.Size - meanSize)
	}
	fi.Slope = covariance / variance
	fi.Intercept = meanValue - fi.Slope*meanSize
	return fi, true
}

// At returns the value of the line at a size.
func (fi Fit) At(size float64) float64 { return fi.Intercept + fi.Slope*size }
