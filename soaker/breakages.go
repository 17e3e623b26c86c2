package soaker

// breakages are the deliberate faults. docs/SOAK.md lists the seeds that caught them.
var breakages = []breakage{
	{
		name: "order-repeated", file: "router/route.go", promise: "an order runs once",
		old: "return rt.op.Kind == Safe || rt.op.Kind == Stream && rt.op.Resumable", new: "return true",
	},
	{
		name: "run-called-not-run", file: "acceptor/refusal.go", promise: "what is refused as not run has not run",
		old: `failedNoAnswer = &refusal{status: http.StatusBadGateway,`,
		new: `failedNoAnswer = &refusal{status: http.StatusServiceUnavailable,`,
	},
	{
		name: "key-passed-on", file: "platform/headers.go", promise: "no target sees a key",
		old: "headerExpectVersion, headerKey,", new: "headerExpectVersion,",
	},
	{
		name: "slot-too-many", file: "provisioner/inventory.go", promise: "no target is ordered beyond its slots",
		old: "if len(iv.slots) >= iv.engine.AdapterSlots {", new: "if len(iv.slots) > iv.engine.AdapterSlots {",
	},
	{
		name: "stream-resumed-from-start", file: "platform/headers.go", promise: wholePromise,
		old: `if di.LastEvent != "" {`, new: `if di.LastEvent == "never" {`,
	},
	{
		name: "configuration-ignored", file: "supervisor/store.go", promise: "a withdrawn key is refused",
		old: "current.Revision() >= cf.Revision()", new: "current.Revision() >= 0",
	},
	{
		name: "exit-without-end", file: "supervisor/supervisor.go", promise: "an instance ends well and in time",
		old: "\tsu.drain(ctx, servers)\n", new: "\t_ = servers\n\tos.Exit(3)\n",
	},
	{
		name: "rate-limit-ignored", file: "acceptor/send.go", promise: "instances together keep to a target's rate limit",
		old: "!ex.acquireSend(ta)", new: "(ex.ctx.Err() != nil && !ex.acquireSend(ta))",
	},
	{
		name: "crashing-part-sent", file: "quarantiner/condemnation.go", promise: "requests with a part that crashes targets are refused",
		old: "if co.covers(parts) {\n\t\t\tco.refused", new: "if co.covers(parts) && len(parts) == 0 {\n\t\t\tco.refused",
	},
	{
		name: "sound-part-refused", file: "quarantiner/part.go", promise: "a calm fleet serves",
		old: "if !slices.Contains(parts, np.Part) {", new: "if slices.Contains(parts, np.Part) {",
	},
	{
		name: "software-ignored", file: "balancer/choose.go", promise: "a stream holds the events of one software version",
		old: "ta.Software() == ne.Software", new: "ta.ID() != ne.Software",
	},
	{
		name: "cut-not-found", file: "prober/prober.go", promise: "instances cut from all targets serve",
		old: "pr.cut, pr.cutSince, pr.goodRounds = true,", new: "pr.cut, pr.cutSince, pr.goodRounds = false,",
	},
	{
		name: "permits-ignored", file: "acceptor/brittle.go", promise: "brittle targets stay up",
		old: "	if de.Admitted {", new: "	if de.Admitted || de.Brittle {",
	},
	{
		name: "evacuation-ignored", file: "balancer/leaving.go", promise: "no request reaches an evacuated failure domain",
		old: "return st.evacuated || st.draining()", new: "return st.evacuated && st.draining() || st.draining()",
	},
	{
		name: "cold-ignored", file: "throttler/cold.go", promise: "cold targets get no more than they tolerate",
		old: "if on && (!named || rate < st.limit.Rate) {", new: "if on && named && rate < st.limit.Rate {",
	},
	{
		name: "regions-ignored", file: "balancer/places.go", promise: "requests stay in their regions",
		old: `st.region != "" && slices.Contains`, new: `st.region != "" || slices.Contains`,
	},
	{
		name: "leaving-ignored", file: "balancer/leaving.go", promise: "no request reaches a target that has left",
		old: "return st.leaving || st.absent || st.target.Draining()", new: "return st.leaving && st.absent && st.target.Draining()",
	},
	{
		name: "framing-added", file: "acceptor/framing.go", promise: wholePromise,
		old: "	if rs.Unframed() {\n		// With", new: "	if rs.Unframed() && ex.w == nil {\n		// With",
	},
	{
		name: "break-closed-in-order", file: "listener/conn.go", promise: wholePromise,
		old: "{ co.setLinger(0) }", new: "{ co.setLinger(-1) }",
	},
	{
		name: "reset-unnoticed", file: "forwarder/limited_reader.go", promise: wholePromise,
		old: "return count, lr.writer.ReadError(err)", new: "return count, err",
	},
	{
		name: "status-unchecked", file: "inspector/syntax.go", promise: wholePromise,
		old: "!final(sy.status) && !interim(sy.status)", new: "sy.status >= 100 && !final(sy.status) && !interim(sy.status)",
	},
	{
		name: "name-unchecked", file: "inspector/syntax.go", promise: wholePromise,
		old: "if !httpguts.IsTokenRune(rune(char)) {", new: "if char != ' ' && !httpguts.IsTokenRune(rune(char)) {",
	},
	{
		name: "anything-joined", file: "acceptor/rest.go", promise: wholePromise,
		old: "return !ex.headSent || newStreamHead(rs) == ex.streamHead", new: "return !ex.headSent || newStreamHead(rs) != streamHead{}",
	},
	{
		name: "budget-off", file: "reserver/reserver.go", promise: "misbehaving clients do not exhaust the memory of an instance",
		old: "if re.op.Total <= 0 {", new: "if re.op.Total >= 0 {",
	},
}
