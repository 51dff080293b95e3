package allotment

import (
	"cmp"
	"math"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Bounds of share reports. With at most 10 beacons a second, an excerpt costs each
// receiver less than 3 KB/s.
const (
	// maxNeeds, maxLoans and maxReturns bound what a host reports altogether.
	maxNeeds, maxLoans, maxReturns = 32, 24, 16
	// MaxNeeds bounds the needs of an excerpt, which is what a beacon carries. In rotation,
	// four beacons carry all.
	MaxNeeds = 8
	// MaxLoans bounds the loans of an excerpt.
	MaxLoans = 6
	// MaxReturns bounds the returns of an excerpt.
	MaxReturns = 4
	// MaxNumber is the largest hash and the largest number of a report.
	MaxNumber = math.MaxInt32
	// maxCalls bounds the calls of a need.
	maxCalls = 1 << 30
)

// boundReport drops the smallest needs and other entries beyond the bounds.
func boundReport(report *schema.ShareReport) {
	if len(report.Needs) > maxNeeds {
		slices.SortStableFunc(report.Needs, func(a, b schema.ShareNeed) int { return cmp.Compare(b.Calls, a.Calls) })
		report.Needs = report.Needs[:maxNeeds]
	}
	report.Returns = report.Returns[:min(len(report.Returns), maxReturns)]
}

// Excerpt returns the part of a report for one beacon. Beacons with successive turns
// carry all of the report.
func Excerpt(report schema.ShareReport, turn int) schema.ShareReport {
	return schema.ShareReport{
		Number: report.Number, Needs: excerpt(report.Needs, turn, MaxNeeds), Loans: excerpt(report.Loans, turn, MaxLoans),
		Returns: excerpt(report.Returns, turn, MaxReturns),
	}
}

// excerpt returns the entries of a list for one turn, at most as many as given.
func excerpt[T any](list []T, turn, most int) []T {
	if len(list) <= most {
		return list
	}
	pages := (len(list) + most - 1) / most
	first := turn % pages * most

	return list[first:min(first+most, len(list))]
}
