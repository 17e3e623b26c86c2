package balancer

import "time"

const (
	// memoryReportLifetime is how long a report of a target's memory is used. Holders read reports every 1.5 s and pass them to
	// peers within 1.7 s. Requests last a few seconds, so an older report is out of date.
	memoryReportLifetime = 6 * time.Second
	// maxQueueShare is the number of waiting requests, as a share of a target's slots, from which a target is skipped while
	// others have shorter queues.
	maxQueueShare = 1.0
	// blendTime is the age of a load report at which the estimate of a target's load has moved half-way to the mean of all
	// candidates. The target with the lowest of many outdated loads is likely to be busier than reported.
	blendTime = 400 * time.Millisecond
	// maxMemory limits a reported memory, in tokens. A larger figure is invalid.
	maxMemory = 1 << 40
)

// Memory is the memory of a target for prompts and answers, in tokens. Used cannot be freed.
type Memory struct {
	Used  int
	Total int
}

// memoryState is an instance's view of a target's memory.
type memoryState struct {
	// reported is the holder's last report at reportedAt. At that time, ownAtReport tokens were the instance's own, of load
	// requests in all, inFlightAtReport of them its own.
	reported         Memory
	reportedAt       time.Time
	load             int
	ownAtReport      int
	inFlightAtReport int
	// own is the memory committed to the instance's own requests.
	own int
}

// Occupancy describes how busy a chosen target and the other candidates are.
type Occupancy struct {
	// Requests is the estimated number of requests at the target, and Slots its slots.
	Requests float64
	Slots    int
	// Busy is the mean number of requests of all candidates as a share of their slots, Taken the share of their slots that are
	// taken, and Queued is true if one of them has a queue.
	Busy   float64
	Taken  float64
	Queued bool
	// Age is the age of the load report.
	Age time.Duration
	// Committed is the share of the target's memory that is taken, with the request; 0 if it is not known.
	Committed float64
	// Room is true if the target has room for the request in its memory now, and Fits if it has when it runs no other request.
	Room bool
	Fits bool
}

// Waiting returns the estimated number of requests that wait for a slot of the target.
func (oc Occupancy) Waiting() float64 { return max(oc.Requests-float64(oc.Slots), 0) }

// Occupancy returns how busy the target and the other candidates are. It is known only for requests with Admission set.
func (ch *Choice) Occupancy() Occupancy { return ch.occupancy }

// Commit records the memory that the request may take at the target, in tokens.
func (se *PendingRequest) Commit(tokens int) {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.st.memory.own += tokens - se.committed
	se.committed = tokens
}

// observeMemory records the memory in an update of the target's holder. Invalid figures are ignored.
func (st *targetState) observeMemory(tu TargetUpdate, now time.Time) {
	me := tu.Memory
	if me.Total <= 0 || me.Total > maxMemory {
		return
	}
	at := now.Add(-tu.LoadAge)
	if !at.After(st.memory.reportedAt) {
		return
	}
	me.Used = min(max(me.Used, 0), me.Total)
	st.memory = memoryState{
		reported: me, reportedAt: at, load: tu.Load, own: st.memory.own,
		ownAtReport: st.memory.own, inFlightAtReport: st.inFlight,
	}
}

// totalMemory returns a target's memory in tokens: as reported, or else as configured; 0 if it is not known.
func (st *targetState) totalMemory(ne Request) int {
	if total := st.memory.reported.Total; total > 0 {
		return total
	}
	return ne.Memory
}

// committedMemory returns the estimated memory that is taken at a target, in tokens. Requests that other instances have sent
// since the holder's report show only in a newer load; they count with the mean of those in the report.
func (st *targetState) committedMemory(now time.Time) int {
	me := st.memory
	if me.reported.Total == 0 || now.Sub(me.reportedAt) > memoryReportLifetime {
		return me.own
	}
	committed := me.reported.Used + me.own - me.ownAtReport
	others := st.requests() - me.load - (st.inFlight - me.inFlightAtReport)
	if others > 0 && me.load > 0 && st.loadAt.After(me.reportedAt) {
		committed += others * me.reported.Used / me.load
	}
	return max(committed, me.own)
}

// requests returns the estimated number of requests at a target.
func (st *targetState) requests() int {
	return max(st.load+st.inFlight-st.inFlightAtReport, st.inFlight)
}

// fits reports whether a target without other requests has room for a request.
func (st *targetState) fits(ne Request) bool {
	total := st.totalMemory(ne)
	return total <= 0 || ne.Tokens <= total
}

// hasRoom reports whether a target has memory left for a request.
func (st *targetState) hasRoom(ne Request, now time.Time) bool {
	total := st.totalMemory(ne)
	return total <= 0 || ne.Tokens <= 0 || st.committedMemory(now)+ne.Tokens <= total
}

// longQueue reports whether a target is skipped for its queue while others have shorter ones.
func (st *targetState) longQueue() bool {
	slots := max(st.target.Slots(), 1)
	return float64(st.requests()-slots) >= maxQueueShare*float64(slots)
}

// chooseWithRoom picks a target with room for the request in its memory and queue, or else any of those that it fits into.
func (ba *Balancer) chooseWithRoom(ne Request, usable []*targetState, now time.Time) (*Choice, bool) {
	fitting := selectStates(usable, func(st *targetState) bool { return st.fits(ne) })
	if len(fitting) == 0 && len(usable) > 0 {
		ch := ba.newChoice(usable[0], now)
		ch.occupancy = Occupancy{Slots: usable[0].target.Slots()}
		return ch, true
	}
	roomy := selectStates(fitting, func(st *targetState) bool { return st.hasRoom(ne, now) })
	free := selectStates(roomy, func(st *targetState) bool { return !st.longQueue() })
	for _, candidates := range [][]*targetState{free, roomy, fitting} {
		if ch, ok := ba.chooseAmong(ne, candidates, now); ok {
			ch.occupancy = ba.occupancy(ne, ba.states[ch.target.ID()], fitting, now)
			return ch, true
		}
		// chooseAmong has counted the request in the demand for its adapter.
		ne.Retry = ne.Retry || len(candidates) > 0
	}
	return nil, false
}

// occupancy describes a target among the candidates for a request. Where the request needs an adapter that the target holds, the
// candidates are the targets that hold it.
func (ba *Balancer) occupancy(ne Request, st *targetState, candidates []*targetState, now time.Time) Occupancy {
	oc := Occupancy{Slots: max(st.target.Slots(), 1), Room: st.hasRoom(ne, now), Fits: true, Age: now.Sub(st.loadAt)}
	requests, taken, slots := 0, 0, 0
	for _, other := range candidates {
		if ne.Adapter.Model != "" && other.serves(ne) != st.serves(ne) {
			continue
		}
		requests += other.requests()
		taken += min(other.requests(), max(other.target.Slots(), 1))
		slots += max(other.target.Slots(), 1)
		oc.Queued = oc.Queued || other.requests() > other.target.Slots()
	}
	if slots > 0 {
		oc.Busy, oc.Taken = float64(requests)/float64(slots), float64(taken)/float64(slots)
	}
	outdated := 1.0
	if !st.loadAt.IsZero() {
		outdated = min(oc.Age.Seconds()/(oc.Age+blendTime).Seconds(), 1)
	} else {
		oc.Age = 0
	}
	own := float64(st.requests())
	oc.Requests = own + max(oc.Busy*float64(oc.Slots)-own, 0)*outdated
	if total := st.totalMemory(ne); total > 0 {
		oc.Committed = float64(st.committedMemory(now)+ne.Tokens) / float64(total)
	}
	return oc
}

// selectStates returns the targets that match.
func selectStates(states []*targetState, matches func(*targetState) bool) []*targetState {
	selected := make([]*targetState, 0, len(states))
	for _, st := range states {
		if matches(st) {
			selected = append(selected, st)
		}
	}
	return selected
}
