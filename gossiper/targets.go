package gossiper

import (
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// leavingHoldTime is how long a target stays leaving while the platform's list, which lags, marks it live.
	leavingHoldTime = 10 * time.Minute
	// unlistedReadings is how many consecutive reads of the list must lack a target before it counts as removed.
	unlistedReadings = 2
)

// These are the names of services on the platform's list; KindEngine and KindService are also the kinds of target.
const (
	InstanceService = "lovagebank"
	KindEngine      = "engine"
	KindService     = "service"
)

// These are the metadata keys of registrations on the platform's list; stateLeaving is a value of metaState.
const (
	metaFailureDomain = "failure-domain"
	metaRegion        = "region"
	metaBase          = "base"
	metaService       = "service"
	metaSlots         = "slots"
	metaBatch         = "batch"
	metaChecksFencing = "checks-fencing"
	metaState         = "state"
	metaPeerAddress   = "peer-address"
	stateLeaving      = "leaving"
)

// mergeTargetList applies one read of the platform's list of one kind of target.
func (st *state) mergeTargetList(kind string, list []storer.Registration, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, rg := range list {
		if rg.ID() == "" {
			continue
		}
		present[rg.ID()] = true
		st.mergeListedTarget(targetOf(kind, rg), now)
	}
	for _, ro := range st.table.rows {
		ta := ro.record.target
		if ta == nil || ta.Kind != kind || ta.Gone || present[ta.Id] {
			continue
		}
		if ro.missedReadings++; ro.missedReadings >= unlistedReadings {
			next := proto.CloneOf(ta)
			next.Gone = true
			next.Version++
			st.put(record{target: next}, now)
		}
	}
}

func (st *state) mergeListedTarget(listed *wire.Target, now time.Time) {
	ro := st.table.target(listed.Id)
	if ro == nil {
		listed.Version = 1
		st.put(record{target: listed}, now)
		return
	}
	ro.missedReadings = 0
	known := ro.record.target
	if known.Leaving && !known.Gone && now.Sub(ro.changedAt) < leavingHoldTime {
		listed.Leaving = true
	}
	listed.Version = known.Version
	if proto.Equal(listed, known) {
		return
	}
	listed.Version++
	st.put(record{target: listed}, now)
}

// observeTarget records whether a target reports that it is leaving.
func (st *state) observeTarget(id string, leaving bool, now time.Time) {
	ro := st.table.target(id)
	if ro == nil || ro.record.target.Gone || ro.record.target.Leaving == leaving {
		return
	}
	next := proto.CloneOf(ro.record.target)
	next.Leaving = leaving
	next.Version++
	st.put(record{target: next}, now)
}

// setListedInstances applies one read of the platform's list of instances.
func (st *state) setListedInstances(list []storer.Registration) {
	listed := make(map[string]listedInstance, len(list))
	for _, rg := range list {
		address := rg.Meta(metaPeerAddress)
		if address == "" {
			address = addressOf(rg)
		}
		listed[address] = listedInstance{
			failureDomain: rg.Meta(metaFailureDomain), leaving: rg.Meta(metaState) == stateLeaving,
		}
	}
	st.listed = listed
	st.membersChanged = true
}

func addressOf(rg storer.Registration) string {
	return net.JoinHostPort(rg.Address(), strconv.Itoa(rg.Port()))
}

func targetOf(kind string, rg storer.Registration) *wire.Target {
	return &wire.Target{
		Id: rg.ID(), Kind: kind, Address: addressOf(rg),
		FailureDomain: rg.Meta(metaFailureDomain), Region: rg.Meta(metaRegion),
		Base: rg.Meta(metaBase), Service: rg.Meta(metaService),
		Slots: parseCount(rg.Meta(metaSlots)), Batch: parseCount(rg.Meta(metaBatch)),
		ChecksFencing: rg.Meta(metaChecksFencing) == "true",
		Leaving:       rg.Meta(metaState) == stateLeaving,
	}
}

// parseCount parses a positive 32-bit integer. It returns 0 for any other text.
func parseCount(text string) int32 {
	value, err := strconv.ParseInt(text, 10, 32)
	if err != nil || value < 0 {
		return 0
	}
	return int32(value)
}
