package beacon

import (
	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxNeedCalls is the largest number of calls a second of a need.
	maxNeedCalls = 1 << 30
	// maxPartMilli is the largest part of a share, of thousandths.
	maxPartMilli = 1000
)

// checkShares returns a *FieldError if a field of a share report is invalid.
func checkShares(report schema.ShareReport) error {
	if err := checkHashes("shares.number", report.Number); err != nil {
		return err
	}
	for _, list := range []struct {
		name         string
		length, most int
	}{
		{"shares.needs", len(report.Needs), allotment.MaxNeeds},
		{"shares.loans", len(report.Loans), allotment.MaxLoans},
		{"shares.returns", len(report.Returns), allotment.MaxReturns},
	} {
		if list.length > list.most {
			return &FieldError{Field: list.name, Value: list.length}
		}
	}
	for _, need := range report.Needs {
		if err := checkHashes("shares.needs", need.TenantHash); err != nil {
			return err
		}
		if need.Calls < 0 || need.Calls > maxNeedCalls {
			return &FieldError{Field: "shares.needs.calls", Value: need.Calls}
		}
	}
	for _, loan := range report.Loans {
		if err := checkHashes("shares.loans", loan.ReceiverHash, loan.TenantHash, loan.Echo); err != nil {
			return err
		}
		if loan.PartMilli < 0 || loan.PartMilli > maxPartMilli {
			return &FieldError{Field: "shares.loans.part_milli", Value: loan.PartMilli}
		}
	}
	for _, returned := range report.Returns {
		if err := checkHashes("shares.returns", returned.LenderHash, returned.TenantHash, returned.Number); err != nil {
			return err
		}
	}

	return nil
}

// checkHashes returns a *FieldError if a number is out of range.
func checkHashes(field string, numbers ...int) error {
	for _, number := range numbers {
		if number < 0 || number > allotment.MaxNumber {
			return &FieldError{Field: field, Value: number}
		}
	}

	return nil
}
