package server

import (
	"strings"

	"lovagebank/leaser"
	"lovagebank/limiter"
	"lovagebank/operator"
	"lovagebank/wire"
)

// status returns the state of the deployment, as this instance sees it.
func (sv *Server) status() operator.Status {
	st := operator.Status{
		Instance:       sv.identity,
		FailureDomain:  sv.settings.FailureDomain(),
		Region:         sv.settings.Region(),
		Leaving:        sv.leaving.Load(),
		Revision:       sv.publisher.Revision(),
		StoreReachable: !sv.storeAway.Load(),
		Instances:      []operator.Member{},
		Targets:        []operator.Target{},
		Leases:         []operator.Lease{},
	}
	for _, me := range sv.gossiper.Members() {
		st.Instances = append(st.Instances, operator.Member{
			ID: me.GetId(), FailureDomain: me.GetFailureDomain(), Region: me.GetRegion(), State: memberState(me.GetState()),
			Revision: me.GetConfigurationRevision(),
		})
	}
	reports := sv.reportsByTarget()
	for _, tg := range sv.gossiper.Targets() {
		st.Targets = append(st.Targets, sv.describeTarget(tg, reports[tg.GetId()]))
		resource := leaser.TargetName(tg.GetId())
		if fencing, until, ok := sv.leases.Holds(resource); ok {
			st.Leases = append(st.Leases, operator.Lease{Resource: resource, Fencing: fencing, Until: until})
		}
	}
	return st
}

func memberState(state wire.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "MEMBER_STATE_"))
}

func (sv *Server) reportsByTarget() map[string]*wire.TargetReport {
	found := make(map[string]*wire.TargetReport)
	for _, report := range sv.holdings.reports() {
		found[report.GetTarget()] = report
	}
	return found
}

func (sv *Server) describeTarget(tg *wire.Target, report *wire.TargetReport) operator.Target {
	described := operator.Target{
		ID: tg.GetId(), Kind: tg.GetKind(), FailureDomain: tg.GetFailureDomain(), Base: tg.GetBase(),
		Service: tg.GetService(), Leaving: tg.GetLeaving(), Served: report != nil,
		Running: report.GetRunning(), Queued: report.GetQueued(),
	}
	if tg.GetKind() == targetKindEngine {
		described.Holder, _ = sv.leases.Holder(leaser.TargetName(tg.GetId()))
	}
	for _, slot := range report.GetAdapters() {
		described.Adapters = append(described.Adapters, operator.Slot{
			Adapter: slot.GetAdapter(), Version: slot.GetVersion(), State: slot.GetState(),
			Running: slot.GetRunning(), Queued: slot.GetQueued(),
		})
	}
	return described
}

// explainRequest returns the decisions on one of the latest requests that came in here.
func (sv *Server) explainRequest(id string) (operator.Explanation, bool) {
	tr, ok := sv.explainer.Find(id)
	if !ok {
		return operator.Explanation{}, false
	}
	explained := operator.Explanation{
		RequestID: tr.ID(), Organisation: tr.Organisation(), Model: tr.Model(), Service: tr.Service(), Steps: []operator.Step{},
	}
	for _, st := range tr.Steps() {
		explained.Steps = append(explained.Steps, operator.Step{At: st.At(), Component: st.Package(), Text: st.Text()})
	}
	return explained, true
}

// explainAdapter returns an adapter with the targets served here on which it lies.
func (sv *Server) explainAdapter(name string) (operator.AdapterExplanation, bool) {
	sn := sv.publisher.Current()
	if sn == nil {
		return operator.AdapterExplanation{}, false
	}
	ad, ok := sn.Adapter(name)
	if !ok {
		return operator.AdapterExplanation{}, false
	}
	explained := operator.AdapterExplanation{
		Adapter: ad.Name(), Organisation: ad.Organisation(), Base: ad.Base(), Current: ad.Current(), Versions: ad.Versions(),
		Targets: []operator.Target{},
	}
	for id, report := range sv.reportsByTarget() {
		for _, slot := range report.GetAdapters() {
			if tg := sv.findTarget(id); tg != nil && slot.GetAdapter() == name {
				explained.Targets = append(explained.Targets, sv.describeTarget(tg, report))
				break
			}
		}
	}
	return explained, true
}

// explainOrganisation returns an organisation's plan and who holds the parts of its rate.
func (sv *Server) explainOrganisation(name string) (operator.OrganisationExplanation, bool) {
	sn := sv.publisher.Current()
	if sn == nil {
		return operator.OrganisationExplanation{}, false
	}
	pl, ok := sn.PlanOf(name)
	if !ok {
		return operator.OrganisationExplanation{}, false
	}
	explained := operator.OrganisationExplanation{
		Organisation: name, Plan: pl.Name(), Rate: pl.Rate(), Burst: pl.Burst(), Urgency: pl.Urgency().String(), Weight: pl.Weight(),
		FloorHolders: []operator.FloorHolder{},
	}
	explained.HomeHolder, _ = sv.leases.Holder(limiter.HomeBucket(name))
	for _, domain := range sv.settings.FailureDomains() {
		holder, _ := sv.leases.Holder(limiter.FloorBucket(domain, name))
		explained.FloorHolders = append(explained.FloorHolders, operator.FloorHolder{FailureDomain: domain, Instance: holder})
	}
	return explained, true
}
