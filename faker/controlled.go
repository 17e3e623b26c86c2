package faker

// FaultControl puts the store's faults under control.
func (st *Store) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){
			FaultUnavailable: func(fa Fault) { st.SetUnavailable(fa.On) },
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

// FaultControl puts the list's faults and its listings under control.
func (li *List) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){
			FaultUnavailable: func(fa Fault) { li.SetUnavailable(fa.On) },
			FaultRegister:    func(fa Fault) { li.Register(*fa.Listing) },
			FaultDeregister:  func(fa Fault) { li.Deregister(fa.Text) },
			FaultLeaving: func(fa Fault) {
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

// FaultControl puts the engine's faults under control.
func (en *Engine) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){
			FaultSilent:       func(fa Fault) { en.SetSilent(fa.On) },
			FaultWrongVersion: func(fa Fault) { en.SetWrongVersion(fa.On) },
			FaultFailingLoads: func(fa Fault) { en.SetFailingLoads(int(fa.Number)) },
			FaultPoison:       func(fa Fault) { en.SetPoison(fa.Text) },
			FaultReportLag:    func(fa Fault) { en.SetReportLag(fa.duration()) },
			FaultEventLag:     func(fa Fault) { en.cache.setLag(fa.duration()) },
			FaultEventLoss:    func(fa Fault) { en.cache.setLoss(uint64(max(fa.Number, 0))) },
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

// FaultControl puts the worker's faults under control.
func (wo *Worker) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){
			FaultSilent:  func(fa Fault) { wo.SetSilent(fa.On) },
			FaultCrashes: func(fa Fault) { wo.SetCrashes(int(fa.Number)) },
			FaultRunTime: func(fa Fault) { wo.SetRunTime(fa.duration()) },
		},
		stats: func() Stats {
			counts := wo.Stats()
			return Stats{Worker: &counts}
		},
	}
}

// FaultControl puts the weight store's slowness under control.
func (ws *WeightStore) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){FaultSlowdown: func(fa Fault) { ws.SetSlowdown(fa.Number) }},
		stats: func() Stats {
			counts := ws.Stats()
			return Stats{Weights: &counts}
		},
	}
}

// FaultControl puts the link's faults under control.
func (lk *Link) FaultControl() FaultControl {
	return FaultControl{
		faults: map[FaultKind]func(Fault){
			FaultCut:    func(fa Fault) { lk.SetCut(fa.On) },
			FaultFreeze: func(Fault) { lk.Freeze() },
			FaultDelay:  func(fa Fault) { lk.SetDelay(fa.duration()) },
		},
		stats: func() Stats { return Stats{} },
	}
}
