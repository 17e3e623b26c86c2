package supervisor

import (
	"context"
	"math/rand/v2"
	"time"

	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/quarantiner"
	"lovagebank/wire"
)

// urgentPeers is the number of peers that receive new evidence at once. They pass it on in turn, so that it reaches all
// instances of a large fleet long before each pair of them has exchanged updates.
const urgentPeers = 3

// evaluateParts puts new verdicts on parts of prompts in force, ends others, and spreads new evidence.
func (su *Supervisor) evaluateParts(ctx context.Context) {
	for _, ch := range su.parts.Evaluate() {
		if ch.InForce {
			su.reporter.AddToCounter("parts_condemned", 1)
			su.logger.Warn("prompt part condemned", "parts", ch.Verdict, "crashes", ch.Crashes, "source", "evidence",
				"first-crash-ms", time.Since(ch.Verdict.Since).Milliseconds())
			su.verdicts.set(ch.Verdict.Key(), verdictRecord{unsaved: true, verdict: ch.Verdict})
			continue
		}
		su.logger.Info("prompt part released", "parts", ch.Verdict, "reason", ch.Reason)
		su.verdicts.set(ch.Verdict.Key(), verdictRecord{ended: true, unsaved: true, verdict: ch.Verdict})
	}
	if su.parts.Urgent() {
		su.exchanger.ExchangeNow(su.randomPeers(urgentPeers))
	}
	su.saveVerdicts(ctx)
	su.saveEvidence(ctx)
}

// randomPeers returns the names of some peers.
func (su *Supervisor) randomPeers(count int) map[string]bool {
	instances := su.keeper.Instances()
	names := make(map[string]bool, count)
	for _, at := range rand.Perm(len(instances)) {
		if len(names) == count {
			break
		}
		names[instances[at].Name] = true
	}
	return names
}

// mergePartEvidence applies a peer's evidence on parts of prompts.
func (su *Supervisor) mergePartEvidence(peer string, evidence *wire.PartEvidence) {
	for _, ve := range su.parts.Merge(peer, decodePartEvidence(evidence)) {
		su.logAdopted(ve, "peer")
	}
}

func (su *Supervisor) logAdopted(ve quarantiner.Verdict, source string) {
	su.reporter.AddToCounter("parts_condemned", 1)
	su.logger.Warn("prompt part condemned", "parts", ve, "source", source, "age-ms", time.Since(ve.At).Milliseconds())
}

// encodePartEvidence returns the message that reports evidence on parts of prompts to a peer.
func encodePartEvidence(re quarantiner.Report) *wire.PartEvidence {
	if re.Mark == 0 && re.Heard == 0 {
		return nil
	}
	evidence := &wire.PartEvidence{Mark: re.Mark, Heard: re.Heard}
	for _, rc := range re.Crashes {
		tc := &wire.TargetCrash{
			Target: rc.Target.Target, StartedMs: rc.Target.Started.UnixMilli(), AgeMs: int32(time.Since(rc.At).Milliseconds()),
		}
		if !rc.AliveAt.IsZero() {
			tc.Alive, tc.AliveMs = true, int32(time.Since(rc.AliveAt).Milliseconds())
		}
		for pt, request := range rc.Suspects {
			tc.Parts, tc.Requests = append(tc.Parts, uint64(pt)), append(tc.Requests, request)
		}
		evidence.Crashes = append(evidence.Crashes, tc)
	}
	for pt, at := range re.Begun {
		evidence.Begun = append(evidence.Begun, &wire.BegunPart{Part: uint64(pt), AgeMs: int32(time.Since(at).Milliseconds())})
	}
	for _, ve := range re.Verdicts {
		evidence.Verdicts = append(evidence.Verdicts, encodeVerdict(ve))
	}
	return evidence
}

func encodeVerdict(ve quarantiner.Verdict) *wire.PartVerdict {
	pv := &wire.PartVerdict{
		SinceMs: time.Since(ve.Since).Milliseconds(), AgeMs: time.Since(ve.At).Milliseconds(),
		RefusedMs: time.Since(ve.RefusedAt).Milliseconds(), Probes: int32(ve.Probes),
	}
	for _, np := range ve.Parts {
		pv.Parts, pv.Names = append(pv.Parts, uint64(np.Part)), append(pv.Names, np.Name)
	}
	return pv
}

// decodePartEvidence returns the evidence on parts of prompts that a peer has reported.
func decodePartEvidence(evidence *wire.PartEvidence) quarantiner.Report {
	now := time.Now()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	re := quarantiner.Report{
		Mark: evidence.GetMark(), Heard: evidence.GetHeard(), Begun: make(map[quarantiner.Part]time.Time, len(evidence.GetBegun())),
	}
	for _, tc := range evidence.GetCrashes() {
		suspects := make(map[quarantiner.Part]uint32, len(tc.GetParts()))
		for at, pt := range tc.GetParts() {
			if at < len(tc.GetRequests()) {
				suspects[quarantiner.Part(pt)] = tc.GetRequests()[at]
			}
		}
		rc := quarantiner.ReportedCrash{
			Target: balancer.Start{Target: tc.GetTarget(), Started: time.UnixMilli(tc.GetStartedMs())},
			At:     ago(int64(tc.GetAgeMs())), Suspects: suspects,
		}
		if tc.GetAlive() {
			rc.AliveAt = ago(int64(tc.GetAliveMs()))
		}
		re.Crashes = append(re.Crashes, rc)
	}
	for _, bp := range evidence.GetBegun() {
		re.Begun[quarantiner.Part(bp.GetPart())] = ago(int64(bp.GetAgeMs()))
	}
	for _, pv := range evidence.GetVerdicts() {
		re.Verdicts = append(re.Verdicts, quarantiner.Verdict{
			Parts: namedParts(pv.GetParts(), pv.GetNames()), Since: ago(pv.GetSinceMs()), At: ago(pv.GetAgeMs()),
			RefusedAt: ago(pv.GetRefusedMs()), Probes: int(pv.GetProbes()),
		})
	}
	return re
}

func namedParts(parts []uint64, names []string) []quarantiner.NamedPart {
	named := make([]quarantiner.NamedPart, 0, len(parts))
	for at, pt := range parts {
		np := quarantiner.NamedPart{Part: quarantiner.Part(pt)}
		if at < len(names) {
			np.Name = names[at]
		}
		named = append(named, np)
	}
	return named
}

// applyOwnChange applies a change of the instances' own keys.
func (su *Supervisor) applyOwnChange(it platform.Item) {
	if !su.applyVerdictChange(it) && !su.applyEvidenceChange(it) && !su.resumer.Apply(it) {
		su.keeper.Apply(it)
	}
}
