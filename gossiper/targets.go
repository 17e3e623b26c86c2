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
	// leavingHold is how long a leaving target stays so although the platform's list, which lags, calls it live.
	leavingHold = 10 * time.Minute
	// unlistedReadings is how many readings of the list in a row must lack a target before it counts as gone.
	unlistedReadings = 2
)

// The names of services on the platform's list, which are also the kinds of target.
const (
	InstanceService = "lovagebank"
	KindEngine      = "engine"
	KindService     = "service"
)

// The metadata of the platform's list.
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

// listTargets takes over a reading of the platform's list of one kind of target.
func (st *state) listTargets(kind string, list []storer.Registration, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, rg := range list {
		if rg.ID() == "" {
			continue
		}
		present[rg.ID()] = true
		st.listTarget(targetOf(kind, rg), now)
	}
	for _, ro := range st.table.rows {
		ta := ro.record.target
		if ta == nil || ta.Kind != kind || ta.Gone || present[ta.Id] {
			continue
		}
		if ro.unlisted++; ro.unlisted >= unlistedReadings {
			next := proto.CloneOf(ta)
			next.Gone = true
			next.Version++
			st.put(record{target: next}, now)
		}
	}
}

func (st *state) listTarget(listed *wire.Target, now time.Time) {
	ro := st.table.target(listed.Id)
	if ro == nil {
		listed.Version = 1
		st.put(record{target: listed}, now)
		return
	}
	ro.unlisted = 0
	known := ro.record.target
	if known.Leaving && !known.Gone && now.Sub(ro.since) < leavingHold {
		listed.Leaving = true
	}
	listed.Version = known.Version
	if proto.Equal(listed, known) {
		return
	}
	listed.Version++
	st.put(record{target: listed}, now)
}

// observeTarget takes over a target's own word.
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

// listInstances takes over a reading of the platform's list of instances.
func (st *state) listInstances(list []storer.Registration) {
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
		Slots: number(rg.Meta(metaSlots)), Batch: number(rg.Meta(metaBatch)),
		ChecksFencing: rg.Meta(metaChecksFencing) == "true",
		Leaving:       rg.Meta(metaState) == stateLeaving,
	}
}

// number reads a whole number above zero; anything else is 0.
func number(text string) int32 {
	value, err := strconv.ParseInt(text, 10, 32)
	if err != nil || value < 0 {
		return 0
	}
	return int32(value)
}
