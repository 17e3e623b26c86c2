package prober

import (
	"cmp"
	"slices"
	"time"
)

// selectTargets returns the targets to try: those that let a connection open last, each of another group as far as there are groups.
func (pr *Prober) selectTargets() []string {
	targets := pr.op.Targets()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.forgetRemoved(targets)
	slices.SortStableFunc(targets, func(a, b Target) int {
		return cmp.Compare(pr.age(a.ID), pr.age(b.ID))
	})
	var selected []string
	groups := make(map[string]bool)
	for _, ta := range targets {
		if len(selected) < probeTargets && !groups[ta.Group] {
			groups[ta.Group] = true
			selected = append(selected, ta.ID)
		}
	}
	for _, ta := range targets {
		if len(selected) < probeTargets && !slices.Contains(selected, ta.ID) {
			selected = append(selected, ta.ID)
		}
	}
	return selected
}

// age returns the time since a target let a connection open; the longest possible time if it never has.
func (pr *Prober) age(target string) time.Duration {
	at, ok := pr.lastOpened[target]
	if !ok {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(at)
}

// forgetRemoved drops what is known of targets that are no longer listed.
func (pr *Prober) forgetRemoved(targets []Target) {
	listed := make(map[string]bool, len(targets))
	for _, ta := range targets {
		listed[ta.ID] = true
	}
	for id := range pr.lastOpened {
		if !listed[id] {
			delete(pr.lastOpened, id)
			delete(pr.failedAt, id)
			delete(pr.brokenAt, id)
		}
	}
}
