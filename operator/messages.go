package operator

import "time"

// Document is the answer to a request for a document.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	// StoreReachable is false if the store did not answer; Text is then the document in force at the instance.
	StoreReachable bool `json:"store-reachable"`
}

// Change is a request to replace one or both lists. If it names both, both are replaced or neither is.
type Change struct {
	ChangeID string `json:"change-id"`
	Base     uint64 `json:"base"`
	// Documents are the new texts; the name of the first determines the kind of the change in the audit trail.
	Documents []DocumentText `json:"documents"`
	// DryRun requests a check of the change without applying it.
	DryRun bool `json:"dry-run,omitempty"`
}

// DocumentText is the new text of one list.
type DocumentText struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Accepted is the answer to a change that was accepted or, for a dry run, has no faults.
type Accepted struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	DryRun   bool   `json:"dry-run,omitempty"`
}

// KeyIssue is a request to add a key. It carries only the key's SHA-256 hash, in hexadecimal; the key itself stays with
// the client that created it.
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

// AuditEntry is the record of one accepted change in the audit trail.
type AuditEntry struct {
	RevisionBefore uint64    `json:"revision-before"`
	RevisionAfter  uint64    `json:"revision-after"`
	At             time.Time `json:"at"`
	Author         string    `json:"author"`
	ChangeID       string    `json:"change-id"`
	Kind           string    `json:"kind"`
	Summary        string    `json:"summary"`
	// Organisations are the organisations that the change concerns; AllOrganisations means that it concerns all of them.
	Organisations    []string `json:"organisations"`
	AllOrganisations bool     `json:"all-organisations"`
}

// AuditPage is the answer to a request for the audit trail, oldest entry first.
type AuditPage struct {
	Revision uint64       `json:"revision"`
	Complete bool         `json:"complete"`
	Entries  []AuditEntry `json:"entries"`
}

// Code identifies the reason of a failure.
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
	// Winner, Revision and WinningChange describe the earlier change that a change conflicts with: its author, its
	// revision and its change id.
	Winner        string `json:"winner,omitempty"`
	Revision      uint64 `json:"revision,omitempty"`
	WinningChange string `json:"winning-change,omitempty"`
}

// Fault is one fault in a document, with its position.
type Fault struct {
	Document string `json:"document"`
	Line     int    `json:"line"`
	Section  string `json:"section"`
	Key      string `json:"key"`
	Message  string `json:"message"`
}
