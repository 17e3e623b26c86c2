package faker

// Controlled returns the store's fault controls and counters.
func (st *Store) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){
			FaultAway:        func(fa Fault) { st.SetAway(fa.On) },
			FaultRate:        func(fa Fault) { st.SetRate(fa.Number) },
			FaultLatency:     func(fa Fault) { st.SetLatency(fa.duration()) },
			FaultLoseAnswers: func(fa Fault) { st.LoseAnswers(int(fa.Number)) },
			FaultStale:       func(fa Fault) { st.SetStale(fa.On) },
			FaultCutOff:      func(fa Fault) { st.SetCutOff(fa.Text, fa.On) },
		},
		stats: func() Stats {
			counts := st.Stats()
			return Stats{Store: &counts}
		},
	}
}

// Controlled returns the list's fault controls, which also change its listings.
func (li *List) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){
			FaultAway:       func(fa Fault) { li.SetAway(fa.On) },
			FaultRegister:   func(fa Fault) { li.Register(*fa.Listing) },
			FaultDeregister: func(fa Fault) { li.Deregister(fa.Text) },
			FaultState: func(fa Fault) {
				if fa.On {
					li.SetState(fa.Text, StateLeaving)
				} else {
					li.SetState(fa.Text, StateLive)
				}
			},
		},
		stats: func() Stats { return Stats{} },
	}
}

// Controlled returns the engine's fault controls and counters.
func (en *Engine) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){
			FaultSilent:       func(fa Fault) { en.SetSilent(fa.On) },
			FaultWrongVersion: func(fa Fault) { en.SetWrongVersion(fa.On) },
			FaultFailingLoads: func(fa Fault) { en.SetFailingLoads(int(fa.Number)) },
			FaultPoison:       func(fa Fault) { en.SetPoison(fa.Text) },
			FaultReportLag:    func(fa Fault) { en.SetReportLag(fa.duration()) },
			FaultEventLag:     func(fa Fault) { en.cache.setLag(fa.duration()) },
			FaultEventLoss:    func(fa Fault) { en.cache.setLossInterval(uint64(max(fa.Number, 0))) },
			FaultDown:         func(fa Fault) { en.SetDown(fa.On) },
			FaultRestart:      func(Fault) { en.Restart() },
			FaultCrash:        func(Fault) { en.Crash() },
		},
		stats: func() Stats {
			counts := en.Stats()
			return Stats{Engine: &counts}
		},
	}
}

// Controlled returns the worker's fault controls and counters.
func (wo *Worker) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){
			FaultSilent:  func(fa Fault) { wo.SetSilent(fa.On) },
			FaultCrashes: func(fa Fault) { wo.SetCrashes(int(fa.Number)) },
			FaultTime:    func(fa Fault) { wo.SetTime(fa.duration()) },
		},
		stats: func() Stats {
			counts := wo.Stats()
			return Stats{Worker: &counts}
		},
	}
}

// Controlled returns the weight store's slowdown control and counters.
func (ws *WeightStore) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){FaultSlowdown: func(fa Fault) { ws.SetSlowdown(fa.Number) }},
		stats: func() Stats {
			counts := ws.Stats()
			return Stats{Weights: &counts}
		},
	}
}

// Controlled returns the link's fault controls.
func (lk *Link) Controlled() Controlled {
	return Controlled{
		faults: map[FaultKind]func(Fault){
			FaultCut:    func(fa Fault) { lk.SetCut(fa.On) },
			FaultFreeze: func(Fault) { lk.Freeze() },
			FaultDelay:  func(fa Fault) { lk.SetDelay(fa.duration()) },
		},
		stats: func() Stats { return Stats{} },
	}
}
