package operator

import "time"

// Status is the answer to a request for the state of the deployment, as one instance sees it.
type Status struct {
	Instance       string   `json:"instance"`
	FailureDomain  string   `json:"failure-domain"`
	Region         string   `json:"region"`
	Leaving        bool     `json:"leaving"`
	Revision       uint64   `json:"revision"`
	StoreReachable bool     `json:"store-reachable"`
	Instances      []Member `json:"instances"`
	Targets        []Target `json:"targets"`
	// Leases are those that this instance holds.
	Leases []Lease `json:"leases"`
}

// Member is one instance.
type Member struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
}

// Target is one target. Slots and requests are known of the targets that the answering instance serves.
type Target struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	FailureDomain string `json:"failure-domain"`
	Base          string `json:"base,omitempty"`
	Service       string `json:"service,omitempty"`
	Leaving       bool   `json:"leaving"`
	Holder        string `json:"holder,omitempty"`
	Served        bool   `json:"served-here"`
	Running       int32  `json:"running"`
	Queued        int32  `json:"queued"`
	Adapters      []Slot `json:"adapters,omitempty"`
}

// Slot is one adapter on a target.
type Slot struct {
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	State   string `json:"state"`
	Running int32  `json:"running"`
	Queued  int32  `json:"queued"`
}

// Lease is one resource that an instance holds.
type Lease struct {
	Resource string    `json:"resource"`
	Fencing  uint64    `json:"fencing"`
	Until    time.Time `json:"until"`
}

// Explanation tells why a request ran where it did, or why it was refused.
type Explanation struct {
	RequestID    string `json:"request-id"`
	Organisation string `json:"organisation"`
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	Steps        []Step `json:"steps"`
}

// Step is one decision on a request.
type Step struct {
	At        time.Time `json:"at"`
	Component string    `json:"part"`
	Text      string    `json:"text"`
}

// AdapterExplanation tells where an adapter lies, among the targets that the answering instance serves, and which
// targets are preferred for it.
type AdapterExplanation struct {
	Adapter      string   `json:"adapter"`
	Organisation string   `json:"organisation"`
	Base         string   `json:"base"`
	Current      string   `json:"current"`
	Versions     []string `json:"versions"`
	Targets      []Target `json:"targets"`
}

// OrganisationExplanation tells what an organisation may use.
type OrganisationExplanation struct {
	Organisation string  `json:"organisation"`
	Plan         string  `json:"plan"`
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	Urgency      string  `json:"urgency"`
	Weight       float64 `json:"weight"`
	// HomeHolder and FloorHolders name the instances that hold the parts of the rate, as known here.
	HomeHolder   string        `json:"home-holder"`
	FloorHolders []FloorHolder `json:"floor-holders"`
}

// FloorHolder is the instance that holds a failure domain's part of a rate.
type FloorHolder struct {
	FailureDomain string `json:"failure-domain"`
	Instance      string `json:"instance"`
}
