// Package balancer chooses the target for each request. It tracks the state of each target from the platform's list of
// targets, from the adapters and the load that the target's holder reports, and from the results of the instance's own
// requests. It performs no I/O.
package balancer

import "time"

// Adapter names an adapter of a base model. Name is empty for the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns the adapter's name for logs.
func (ad Adapter) String() string {
	if ad.Name == "" {
		return ad.Model
	}
	return ad.Model + "/" + ad.Name
}

// Resident is a base model that a target reports to hold.
type Resident struct {
	Model   string
	Version int64
	// Adapters maps names of adapters to their versions.
	Adapters map[string]int64
}

// TargetOptions configures a Target.
type TargetOptions struct {
	// ID identifies this start of the target. If the target restarts under the same ID, Started tells the starts apart.
	ID string
	// Service names the service that the target belongs to.
	Service string
	// Address is the target's IP and port.
	Address string
	// FailureDomain names the failure domain in which the target runs.
	FailureDomain string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining is set if the target takes no new requests.
	Draining bool
	// Started is the wall-clock time at which the target reports to have started.
	Started time.Time
	// Residents lists the base models that the target reports to hold.
	Residents []Resident
	// Software is the version of the target's software; empty if it is not known. A stream may go on only at the version that
	// began it.
	Software string
}

// Target is an entry of the platform's list of targets.
type Target struct{ op TargetOptions }

// NewTarget returns a target.
func NewTarget(op TargetOptions) *Target { return &Target{op: op} }

// ID returns the ID of this start of the target.
func (ta *Target) ID() string { return ta.op.ID }

// Service returns the name of the service that the target belongs to.
func (ta *Target) Service() string { return ta.op.Service }

// Address returns the target's IP and port.
func (ta *Target) Address() string { return ta.op.Address }

// FailureDomain returns the failure domain in which the target runs.
func (ta *Target) FailureDomain() string { return ta.op.FailureDomain }

// Slots returns the number of requests that the target runs concurrently.
func (ta *Target) Slots() int { return ta.op.Slots }

// Draining reports whether the target takes no new requests.
func (ta *Target) Draining() bool { return ta.op.Draining }

// Started returns the wall-clock time at which the target reports to have started.
func (ta *Target) Started() time.Time { return ta.op.Started }

// Software returns the version of the target's software.
func (ta *Target) Software() string { return ta.op.Software }

// Residents returns the base models that the target reports to hold.
func (ta *Target) Residents() []Resident { return ta.op.Residents }

// Start identifies a start of a target. A target that restarts under the same ID has another start time.
type Start struct {
	Target  string
	Started time.Time
}

// Start returns the start of the target that this entry belongs to.
func (ta *Target) Start() Start { return Start{Target: ta.op.ID, Started: ta.op.Started} }

// SameAs reports whether the entry belongs to a start of a target.
func (ta *Target) SameAs(ts Start) bool {
	return ta.op.ID == ts.Target && ta.op.Started.Equal(ts.Started)
}

// SameStart reports whether another entry belongs to the same start of the same target: it has the same ID, start time and
// address.
func (ta *Target) SameStart(other *Target) bool {
	return ta.op.ID == other.op.ID && ta.op.Started.Equal(other.op.Started) && ta.op.Address == other.op.Address
}

// PromptPart is a part of a prompt that targets cache and requests share. Tokens is its length in tokens.
type PromptPart struct {
	ID     string
	Tokens int
}
