package operator

import "time"

// Document is the answer to a request for a document.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// StoreReachable is false when the text is what is in force at the instance, because the store did not answer.
	StoreReachable bool `json:"store-reachable"`
}

// Change is a request to replace one or both lists, both or none.
type Change struct {
	ChangeID string `json:"change-id"`
	Base     uint64 `json:"base"`
	// Documents are the new texts; the first one's name is the kind of change in the audit trail.
	Documents []DocumentText `json:"documents"`
	// DryRun checks the change without making it.
	DryRun bool `json:"dry-run,omitempty"`
}

// DocumentText is the new text of one list.
type DocumentText struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Accepted is the answer to a change.
type Accepted struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	DryRun   bool   `json:"dry-run,omitempty"`
}

// KeyIssue is a request to add a key. The key itself stays with who made it.
type KeyIssue struct {
	ChangeID     string    `json:"change-id"`
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Hash         string    `json:"hash"`
	Expires      time.Time `json:"expires,omitzero"`
	DryRun       bool      `json:"dry-run,omitempty"`
}

// KeyWithdrawal is a request to withdraw the key that the path names.
type KeyWithdrawal struct {
	ChangeID string `json:"change-id"`
	DryRun   bool   `json:"dry-run,omitempty"`
}

// Key is one key of a list, without its hash.
type Key struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Expires      time.Time `json:"expires,omitzero"`
	Withdrawn    bool      `json:"withdrawn"`
}

// KeyList is the answer to a request for keys.
type KeyList struct {
	Revision uint64 `json:"revision"`
	Keys     []Key  `json:"keys"`
}

// AuditEntry is one accepted change.
type AuditEntry struct {
	RevisionBefore uint64    `json:"revision-before"`
	RevisionAfter  uint64    `json:"revision-after"`
	At             time.Time `json:"at"`
	Author         string    `json:"author"`
	ChangeID       string    `json:"change-id"`
	Kind           string    `json:"kind"`
	Summary        string    `json:"summary"`
	// Organisations that the change concerns; AllOrganisations stands for every one.
	Organisations    []string `json:"organisations"`
	AllOrganisations bool     `json:"all-organisations"`
}

// AuditPage is the answer to a request for the audit trail, oldest entry first.
type AuditPage struct {
	Revision uint64       `json:"revision"`
	Complete bool         `json:"complete"`
	Entries  []AuditEntry `json:"entries"`
}

// Code names the reason of a failure.
type Code string

// The reasons of failures.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeBadRequest     Code = "bad-request"
	CodeNotFound       Code = "not-found"
	CodeFaults         Code = "faults"
	CodeConflict       Code = "conflict"
	CodeChangeReused   Code = "change-reused"
	CodeNotAccepted    Code = "not-accepted"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeAlreadyIssued  Code = "already-issued"
	CodeInternal       Code = "internal"
)

// Failure is the answer to a request that failed.
type Failure struct {
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	Faults  []Fault `json:"faults,omitempty"`
	// Winner, Revision and WinningChange tell of the change that came first.
	Winner        string `json:"winner,omitempty"`
	Revision      uint64 `json:"revision,omitempty"`
	WinningChange string `json:"winning-change,omitempty"`
}

// Fault is one mistake in a text.
type Fault struct {
	Document string `json:"document"`
	Line     int    `json:"line"`
	Section  string `json:"section"`
	Key      string `json:"key"`
	Message  string `json:"message"`
}
