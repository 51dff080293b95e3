// Package scaling measures how the state and the work of the decisions grow with
// the size of what they hold. Its figures feed docs/CAPACITY.md. Nothing of the
// product imports it.
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

// Point is one measurement.
type Point struct {
	// Size is the number of things held.
	Size int
	// Value is the measured amount in the slope's unit.
	Value float64
}

// Measurement is a quantity measured at several sizes.
type Measurement struct {
	// Name says what grows with what.
	Name string
	// Unit is the unit of the values.
	Unit string
	// Points are the measurements by size.
	Points []Point
}

// Fit returns the value at size zero and the growth with each further thing, by
// least squares.
func (m Measurement) Fit() (base, each float64) {
	sizes := make([]float64, 0, len(m.Points))
	values := make([]float64, 0, len(m.Points))
	for _, point := range m.Points {
		sizes = append(sizes, float64(point.Size))
		values = append(values, point.Value)
	}

	return stat.LinearRegression(sizes, values, nil, false)
}

// valueFunc returns the value at a size.
type valueFunc func(size int) float64

// measure takes one point at each size.
func measure(name, unit string, sizes []int, value valueFunc) Measurement {
	measurement := Measurement{Name: name, Unit: unit}
	for _, size := range sizes {
		measurement.Points = append(measurement.Points, Point{Size: size, Value: value(size)})
	}

	return measurement
}

// heapBytes returns the bytes that what build returns keeps on the heap.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)

	return float64(after) - float64(before)
}

// liveHeap returns the bytes on the heap after a collection.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

// minMeasureTime is the least time over which a duration is averaged.
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

// Print writes the slopes as a table.
func Print(out io.Writer, measurements []Measurement) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tunit\tmeasured (size: value)\tbase\teach")
	for _, measurement := range measurements {
		base, each := measurement.Fit()
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.4g\n", measurement.Name, measurement.Unit, points(measurement.Points), base, each)
	}

	return eris.Wrap(table.Flush(), "printing the slopes")
}

// points lists measurements.
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
