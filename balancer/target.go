// Package balancer decides which target a request goes to. It keeps what the instance believes of each target: what
// the platform's list says, what the target's holder tells of adapters and load, and what the instance's own requests
// met. It does no input or output.
package balancer

import "time"

// Adapter names an adapter of a base model. Name is empty for the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// String is the adapter's name in logs.
func (ad Adapter) String() string {
	if ad.Name == "" {
		return ad.Model
	}
	return ad.Model + "/" + ad.Name
}

// Resident is a base model that a target says it holds.
type Resident struct {
	Model   string
	Version int64
	// Adapters maps names of adapters to their versions.
	Adapters map[string]int64
}

// TargetOptions build a Target.
type TargetOptions struct {
	// ID names this start of the target, unless it starts again under the same name (see Started).
	ID string
	// Service names the service that the target belongs to.
	Service string
	// Address is the target's IP and port.
	Address string
	// FailureDomain names where the target runs.
	FailureDomain string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Started is the wall clock time at which the target says it started.
	Started time.Time
	// Residents lists the base models that the target says it holds.
	Residents []Resident
}

// Target is an entry of the platform's list of targets.
type Target struct{ op TargetOptions }

// NewTarget builds a target.
func NewTarget(op TargetOptions) *Target { return &Target{op: op} }

// ID names the target.
func (ta *Target) ID() string { return ta.op.ID }

// Service names the service that the target belongs to.
func (ta *Target) Service() string { return ta.op.Service }

// Address is the target's IP and port.
func (ta *Target) Address() string { return ta.op.Address }

// FailureDomain names where the target runs.
func (ta *Target) FailureDomain() string { return ta.op.FailureDomain }

// Slots is the number of requests that the target runs at a time.
func (ta *Target) Slots() int { return ta.op.Slots }

// Draining targets take no new requests.
func (ta *Target) Draining() bool { return ta.op.Draining }

// Started is the wall clock time at which the target says it started.
func (ta *Target) Started() time.Time { return ta.op.Started }

// Residents lists the base models that the target says it holds.
func (ta *Target) Residents() []Resident { return ta.op.Residents }

// SameStart tells whether another entry is of the same start of the same target.
func (ta *Target) SameStart(other *Target) bool {
	return ta.op.ID == other.op.ID && ta.op.Started.Equal(other.op.Started) && ta.op.Address == other.op.Address
}

// PromptPart is a part of a prompt that targets keep and requests share.
type PromptPart struct {
	ID     string
	Tokens int
}
