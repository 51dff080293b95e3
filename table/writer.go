package table

import (
	"fmt"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxWrites is the largest number of attempts for a write without a usable reply.
const maxWrites = 5

// Event is the result of a write: Replied or Failed.
//
//sumtype:decl
type Event interface{ event() }

// Replied carries the platform's reply to a write.
type Replied struct {
	// Result is the platform's reply.
	Result schema.TransactionResult
}

// Failed says that a write got no reply. It may have been committed.
type Failed struct {
	// Cause is the failure.
	Cause error
}

func (Replied) event() {}
func (Failed) event()  {}

// Action is the writer's next step: Write, Accept or Reject.
//
//sumtype:decl
type Action interface{ action() }

// Write sends the transaction. It is repeated after a failure.
type Write struct {
	// Transaction is the same for each attempt.
	Transaction schema.Transaction
}

// Accept ends the change as stored.
type Accept struct {
	// Version is a version that contains the change.
	Version int
}

// Reject ends the change with a *ConflictError or an *UnsettledError.
type Reject struct {
	// Err is the reason.
	Err error
}

func (Write) action()  {}
func (Accept) action() {}
func (Reject) action() {}

// Writer stores one change. After a lost reply it repeats the write unchanged;
// the compare-and-swap lets the write take effect at most once. The row that a
// rejected attempt returns shows whether an earlier attempt took effect: by its
// change id, or by the recent changes in its value if others have changed the row
// since.
type Writer struct {
	// Transaction replaces the single row of the configuration.
	Transaction schema.Transaction

	attempts int
}

// NewWriter returns a writer for the transaction and its first action.
func NewWriter(transaction schema.Transaction) (*Writer, Action) {
	return &Writer{Transaction: transaction, attempts: 1}, Write{Transaction: transaction}
}

// Step returns the action that follows the result of a write.
func (w *Writer) Step(event Event) Action {
	switch event := event.(type) {
	case Replied:
		return w.replied(event.Result)
	case Failed:
		return w.retry(event.Cause)
	}

	return Write{Transaction: w.Transaction}
}

// replied decides the change by the platform's reply.
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

// retry repeats the write until maxWrites is reached. The outcome is then
// unsettled, because an abandoned write may still take effect.
func (w *Writer) retry(cause error) Action {
	if w.attempts >= maxWrites {
		return Reject{Err: &UnsettledError{ChangeID: w.Transaction.Rows[0].ChangeID, Cause: cause}}
	}
	w.attempts++

	return Write{Transaction: w.Transaction}
}

// MalformedError reports a reply of the platform that contradicts the
// transaction.
type MalformedError struct {
	// Rows is the number of rows in the reply.
	Rows int
}

// Error returns a message with the number of rows.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the platform's reply with %d rows contradicts the transaction", e.Rows)
}
