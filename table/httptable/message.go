// Package httptable implements the table service over HTTP with JSON bodies: a
// handler that serves any table.Table, and a client that implements table.Table.
//
// The client distinguishes the two failures of table.Table. A request that did
// not get a connection was not sent and fails with table.ErrUnavailable. A
// transaction that may have been sent fails with table.ErrUnsettled unless the
// server answers that it was not applied.
package httptable

import (
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// Paths of the service.
const (
	// BasePath is the prefix of every path of the service.
	BasePath         = "/table"
	rowPath          = "/row"
	rowsPath         = "/rows"
	transactionsPath = "/transactions"
)

// maxBodyBytes is the maximum size of the body of a request or response.
const maxBodyBytes = 16 << 20

// rowMessage is a row; JSON holds the value in base64.
type rowMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// getAnswer is the answer to a read of one row. Row is nil if it is absent.
type getAnswer struct {
	Row *rowMessage `json:"row"`
}

// rangeAnswer is the answer to a read of several rows.
type rangeAnswer struct {
	Rows []rowMessage `json:"rows"`
}

type conditionMessage struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type writeMessage struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// transactionMessage is the body of a commit.
type transactionMessage struct {
	ID         string             `json:"id"`
	Conditions []conditionMessage `json:"conditions,omitempty"`
	Writes     []writeMessage     `json:"writes,omitempty"`
}

// outcomeMessage is the answer to a commit.
type outcomeMessage struct {
	Applied   bool         `json:"applied"`
	Conflicts []rowMessage `json:"conflicts,omitempty"`
	Version   uint64       `json:"version,omitempty"`
}

// failureKind states in an error response whether the request had an effect.
type failureKind string

const (
	failureInvalid     failureKind = "invalid"
	failureUnavailable failureKind = "unavailable"
	failureUnsettled   failureKind = "unsettled"
)

// failureMessage is the body of every response with a status other than 200.
type failureMessage struct {
	Kind   failureKind `json:"kind"`
	Detail string      `json:"detail,omitempty"`
}

func encodeRow(row table.Row) rowMessage {
	return rowMessage{Key: row.Key, Value: row.Value, Version: uint64(row.Version)}
}

func decodeRow(m rowMessage) table.Row {
	return table.Row{Key: m.Key, Value: m.Value, Version: table.Version(m.Version)}
}

func encodeRows(rows []table.Row) []rowMessage {
	messages := make([]rowMessage, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, encodeRow(row))
	}
	return messages
}

func decodeRows(messages []rowMessage) []table.Row {
	var rows []table.Row
	for _, m := range messages {
		rows = append(rows, decodeRow(m))
	}
	return rows
}

func encodeTransaction(txn table.Transaction) transactionMessage {
	m := transactionMessage{ID: txn.ID.String()}
	for _, c := range txn.Conditions {
		m.Conditions = append(m.Conditions, conditionMessage{Key: c.Key, Version: uint64(c.Version)})
	}
	for _, w := range txn.Writes {
		m.Writes = append(m.Writes, writeMessage(w))
	}
	return m
}

func decodeTransaction(m transactionMessage) (table.Transaction, error) {
	id, err := uuid.Parse(m.ID)
	if err != nil {
		return table.Transaction{}, errors.Wrapf(err, "transaction id %q", m.ID)
	}
	txn := table.Transaction{ID: table.TransactionID(id)}
	for _, c := range m.Conditions {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: c.Key, Version: table.Version(c.Version)})
	}
	for _, w := range m.Writes {
		txn.Writes = append(txn.Writes, table.Write(w))
	}
	return txn, nil
}

func encodeOutcome(o table.Outcome) outcomeMessage {
	return outcomeMessage{Applied: o.Applied, Conflicts: encodeRows(o.Conflicts), Version: uint64(o.Version)}
}

func decodeOutcome(m outcomeMessage) table.Outcome {
	return table.Outcome{Applied: m.Applied, Conflicts: decodeRows(m.Conflicts), Version: table.Version(m.Version)}
}
