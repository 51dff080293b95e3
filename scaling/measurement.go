// Package scaling measures how the memory and the processing time of the
// decision packages grow with the numbers of backend servers, hosts and orders.
// docs/CAPACITY.md uses its results. The product does not import this package.
package scaling

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	// Size is the number of backend servers, hosts or orders.
	Size int
	// Value is the measured value in the unit of the measurement.
	Value float64
}

// Measurement is a quantity measured at several sizes.
type Measurement struct {
	// Name names the quantity and what it is measured by.
	Name string
	// Unit is the unit of the values.
	Unit string
	// Points are the measured values in ascending order of size.
	Points []Point
}

// Fit returns a least-squares line: its value at size zero and its slope.
func (s Measurement) Fit() (base, each float64) {
	sizes := make([]float64, 0, len(s.Points))
	values := make([]float64, 0, len(s.Points))
	for _, point := range s.Points {
		sizes = append(sizes, float64(point.Size))
		values = append(values, point.Value)
	}

	return stat.LinearRegression(sizes, values, nil, false)
}

// valueFunc measures the value at a size.
type valueFunc func(size int) float64

// measure takes one point at each size.
func measure(name, unit string, sizes []int, value valueFunc) Measurement {
	measurement := Measurement{Name: name, Unit: unit}
	for _, size := range sizes {
		measurement.Points = append(measurement.Points, Point{Size: size, Value: value(size)})
	}

	return measurement
}

// heapBytes returns the heap bytes retained by the result of build.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)

	return float64(after) - float64(before)
}

// liveHeap returns the bytes of allocated heap objects after a garbage
// collection.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

// minMeasureTime is the minimum time over which a duration is averaged.
const minMeasureTime = 200 * time.Millisecond

// meanNanoseconds returns the mean duration of a step in nanoseconds.
func meanNanoseconds(step func()) float64 {
	for count := 1; ; count *= 4 {
		began := time.Now()
		for range count {
			step()
		}
		if took := time.Since(began); took >= minMeasureTime {
			return float64(took.Nanoseconds()) / float64(count)
		}
	}
}

// Print prints the measurements with their fitted lines as a table.
func Print(out io.Writer, measurements []Measurement) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tunit\tmeasured (size: value)\tbase\teach")
	for _, measurement := range measurements {
		base, each := measurement.Fit()
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.4g\n", measurement.Name, measurement.Unit, points(measurement.Points), base, each)
	}

	return eris.Wrap(table.Flush(), "printing the measurements")
}

// points formats a list of points.
func points(list []Point) string {
	text := ""
	for i, point := range list {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%d: %.0f", point.Size, point.Value)
	}

	return text
}
