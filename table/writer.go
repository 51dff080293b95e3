package table

import (
	"fmt"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxWrites bounds how often a write without a reply is repeated.
const maxWrites = 5

// Event is what the writer reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Replied says that the platform answered a write.
type Replied struct {
	// Result is the platform's answer.
	Result schema.TransactionResult
}

// Failed says that a write has no reply. It may have been committed.
type Failed struct {
	// Cause is the failure.
	Cause error
}

func (Replied) event() {}
func (Failed) event()  {}

// Action is what the writer wants done.
//
//sumtype:decl
type Action interface{ action() }

// Write sends the transaction, again after a failure.
type Write struct {
	// Transaction is the same each time.
	Transaction schema.Transaction
}

// Accept ends the change: it is kept.
type Accept struct {
	// Version is the version that holds it.
	Version int
}

// Reject ends the change with a *ConflictError or an *UnsettledError.
type Reject struct {
	// Err says why.
	Err error
}

func (Write) action()  {}
func (Accept) action() {}
func (Reject) action() {}

// Writer keeps one change. A write is repeated unchanged after a lost reply:
// the compare-and-swap lets it take effect at most once. The row that a
// rejected try finds tells whether an earlier try took effect: by its change
// id, or by the recent changes in its value if others changed the row since.
type Writer struct {
	// Transaction holds the one row to replace.
	Transaction schema.Transaction

	attempts int
}

// NewWriter returns a writer and its first action.
func NewWriter(transaction schema.Transaction) (*Writer, Action) {
	return &Writer{Transaction: transaction, attempts: 1}, Write{Transaction: transaction}
}

// Step reacts to one event.
func (w *Writer) Step(event Event) Action {
	switch event := event.(type) {
	case Replied:
		return w.replied(event.Result)
	case Failed:
		return w.retry(event.Cause)
	}

	return Write{Transaction: w.Transaction}
}

// replied settles the change by the platform's answer.
func (w *Writer) replied(result schema.TransactionResult) Action {
	row := w.Transaction.Rows[0]
	if len(result.Rows) != 1 {
		return w.retry(&MalformedError{Rows: len(result.Rows)})
	}
	found := result.Rows[0]
	if result.Committed || found.ChangeID == row.ChangeID {
		return Accept{Version: found.Version}
	}
	if found.Version <= row.Version {
		return w.retry(&MalformedError{Rows: len(result.Rows)})
	}
	current, err := Decode(found)
	if err != nil {
		return Reject{Err: &UnsettledError{ChangeID: row.ChangeID, Cause: err}}
	}
	if ContainsChange(current, row.ChangeID) {
		return Accept{Version: found.Version}
	}

	return Reject{Err: &ConflictError{ChangeID: row.ChangeID, Accepted: found.ChangeID, Version: found.Version}}
}

// retry repeats the write unless it was tried often enough. A write that was
// given up may still take effect.
func (w *Writer) retry(cause error) Action {
	if w.attempts >= maxWrites {
		return Reject{Err: &UnsettledError{ChangeID: w.Transaction.Rows[0].ChangeID, Cause: cause}}
	}
	w.attempts++

	return Write{Transaction: w.Transaction}
}

// MalformedError reports an answer of the platform that contradicts the
// transaction.
type MalformedError struct {
	// Rows is the number of rows in the answer.
	Rows int
}

// Error describes the answer.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the platform's answer with %d rows contradicts the transaction", e.Rows)
}
