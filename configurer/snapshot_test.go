package configurer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

const (
	goodPlans = "[organisation castaneda]\nplan = dealer\n[organisation indus]\nplan = branch\n"
	goodUses  = `[plan dealer]
rate = 1000
burst = 4000
urgency = interactive
deadline = 20s
adapters = castaneda-*, shared
services = orders
[plan branch]
rate = 10
burst = 100
adapters = indus-notes
[adapter castaneda-parts]
organisation = castaneda
base = base-1
current = v2
versions = v1, v2
[adapter indus-notes]
organisation = indus
base = base-1
current = v1
[adapter shared]
base = base-1
current = v1
[service orders]
`
	goodKeys = `[key k-1]
organisation = castaneda
hash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
expires = 2030-01-01T00:00:00Z
`
)

func TestSnapshotLookups(t *testing.T) {
	sn, err := NewSnapshot(7, NewDocuments(goodPlans, goodUses, goodKeys))
	if err != nil {
		t.Fatal(err)
	}
	ad, ok := sn.Adapter("castaneda-parts")
	if !ok || ad.Current() != "v2" || len(ad.Versions()) != 2 || ad.Organisation() != "castaneda" {
		t.Errorf("adapter %+v", ad)
	}
	if ad, ok := sn.Adapter("indus-notes"); !ok || len(ad.Versions()) != 1 {
		t.Errorf("adapter %+v", ad)
	}
	if _, ok := sn.Adapter("castaneda"); ok {
		t.Error("found an adapter by the start of its name")
	}
	allows := map[string]bool{"castaneda-parts": true, "shared": true, "indus-notes": false, "sharedx": false}
	for name, want := range allows {
		if sn.PlanIncludes("dealer", name) != want {
			t.Errorf("Allows(dealer, %s) is not %v", name, want)
		}
	}
	if got := sn.Adapters("castaneda"); len(got) != 2 || got[0].Name() != "castaneda-parts" || got[1].Name() != "shared" {
		t.Errorf("adapters of castaneda: %v", got)
	}
	if sv, ok := sn.Service("orders"); !ok || sv.Repeatable() || sv.Open() {
		t.Errorf("service %+v", sv)
	}
	if len(sn.Keys()) != 1 || sn.Keys()[0].Expires().Year() != 2030 || sn.Revision() != 7 {
		t.Errorf("keys %+v", sn.Keys())
	}
}

func TestListFaults(t *testing.T) {
	tests := map[string]struct{ document, replace, with, want string }{
		"no plan":            {DocumentPlans, "plan = dealer", "plan = dealers", `plans:1: [organisation castaneda] plan: the uses list has no plan "dealers"`},
		"organisation twice": {DocumentPlans, "indus", "castaneda", "plans:3: [organisation castaneda] stands twice, first in line 1"},
		"rate":               {DocumentUses, "rate = 1000", "rate = NaN", `uses:2: [plan dealer] rate: bad value "NaN"; allowed: a number above 0`},
		"urgency":            {DocumentUses, "= interactive", "= now", "uses:4: [plan dealer] urgency: bad value"},
		"no adapter":         {DocumentUses, ", shared", ", other", `uses:1: [plan dealer] adapters: there is no adapter "other"`},
		"no service":         {DocumentUses, "= orders", "= order", `uses:1: [plan dealer] services: there is no service "order"`},
		"current":            {DocumentUses, "v1, v2", "v1, v3", "uses:16: [adapter castaneda-parts] versions: must include"},
		"owner":              {DocumentUses, "organisation = indus", "organisation = india", "uses:18: [adapter indus-notes] organisation: the plans list has no"},
		"adapter twice":      {DocumentUses, "[adapter shared]", "[adapter indus-notes]", "uses:21: [adapter indus-notes] stands twice, first in line 17"},
		"name":               {DocumentUses, "[adapter shared]", "[adapter a@b]", `uses:21: [adapter a@b] bad name "a@b"`},
		"hash":               {DocumentKeys, "9f86", "xx", "keys:3: [key k-1] hash: bad value"},
		"key's organisation": {DocumentKeys, "castaneda", "nobody", "keys:2: [key k-1] organisation: the plans list has no"},
		"foreign section":    {DocumentKeys, "[key k-1]", "[plan x]", "keys:1: [plan x] unknown section; allowed: [key name]"},
		"multi-line value":   {DocumentUses, "= 20s", `= """`, "uses:5: [plan dealer] not understood"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			do := NewDocuments(goodPlans, goodUses, goodKeys)
			text, _ := do.Text(tc.document)
			_, err := NewSnapshot(1, do.With(tc.document, strings.Replace(text, tc.replace, tc.with, 1)))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// TestNextEqualsNew edits lists and expects the same snapshot, or the same faults, as from parsing them whole.
func TestNextEqualsNew(t *testing.T) {
	tests := map[string]struct{ document, replace, with string }{
		"same":           {},
		"version":        {DocumentUses, "current = v2", "current = v1"},
		"plan":           {DocumentUses, "rate = 10\n", "rate = 20\n"},
		"adapter gone":   {DocumentUses, "[adapter shared]\nbase = base-1\ncurrent = v1\n", ""},
		"adapter moved":  {DocumentUses, "[service orders]", "[adapter castaneda-z]\nbase = base-2\ncurrent = v9\n[service orders]"},
		"owner gone":     {DocumentPlans, "[organisation indus]\nplan = branch\n", ""},
		"key withdrawn":  {DocumentKeys, "expires", "withdrawn = true\nexpires"},
		"adapter twice":  {DocumentUses, "[adapter shared]", "[adapter indus-notes]"},
		"unknown key":    {DocumentUses, "versions =", "version ="},
		"not understood": {DocumentUses, "organisation = indus", "organisation"},
	}
	before := NewDocuments(goodPlans, goodUses, goodKeys)
	first, err := NewSnapshot(1, before)
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			text, _ := before.Text(tc.document)
			do := before.With(tc.document, strings.Replace(text, tc.replace, tc.with, 1))
			want, wantErr := NewSnapshot(2, do)
			got, gotErr := first.Next(2, do)
			if fmt.Sprint(wantErr) != fmt.Sprint(gotErr) {
				t.Fatalf("got %v, want %v", gotErr, wantErr)
			}
			if wantErr != nil {
				return
			}
			if cp := Compare(want, got); len(cp.Differences()) != 0 {
				t.Errorf("differs: %v", cp.Differences())
			}
			if changed := len(Compare(first, got).Differences()) != 0; changed != (name != "same") {
				t.Errorf("against the first snapshot: changed is %v", changed)
			}
		})
	}
}

func TestCompareNamesOrganisations(t *testing.T) {
	before := NewDocuments(goodPlans, goodUses, goodKeys)
	first, err := NewSnapshot(1, before)
	if err != nil {
		t.Fatal(err)
	}
	uses := strings.Replace(strings.Replace(goodUses, "rate = 10\n", "rate = 20\n", 1), "current = v2", "current = v1", 1)
	second, err := first.Next(2, before.With(DocumentUses, uses))
	if err != nil {
		t.Fatal(err)
	}
	cp := Compare(first, second)
	names, all := cp.AffectedOrganisations()
	if got := cp.Summary(200); got != "plan branch changed, adapter castaneda-parts changed" || len(names) != 2 || all {
		t.Errorf("%s; %v %v", got, names, all)
	}
	if got := cp.Summary(32); got != "plan branch changed and 1 more" {
		t.Errorf("short summary: %s", got)
	}
}

// manyUses makes a uses list with the given number of adapters.
func manyUses(adapters int) string {
	var text strings.Builder
	text.WriteString(goodUses)
	for at := range adapters {
		fmt.Fprintf(&text, "[adapter castaneda-parts-%05d]\norganisation = castaneda\nbase = base-%d\ncurrent = v%d\n", at, at%3, at%9)
	}
	return text.String()
}

// BenchmarkNewSnapshot reports the time to build, and the bytes that stay, with 35,000 adapters.
func BenchmarkNewSnapshot(b *testing.B) {
	do := NewDocuments(goodPlans, manyUses(35000), goodKeys)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sn *Snapshot
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if sn, err = NewSnapshot(1, do); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-bytes")
	runtime.KeepAlive(sn)
	runtime.KeepAlive(do)
}

// BenchmarkNextSnapshot is a change of one key with 35,000 adapters.
func BenchmarkNextSnapshot(b *testing.B) {
	do := NewDocuments(goodPlans, manyUses(35000), goodKeys)
	sn, err := NewSnapshot(1, do)
	if err != nil {
		b.Fatal(err)
	}
	do = do.With(DocumentKeys, goodKeys+"withdrawn = true\n")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sn.Next(2, do); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAdapter(b *testing.B) {
	sn, err := NewSnapshot(1, NewDocuments(goodPlans, manyUses(35000), goodKeys))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, ok := sn.Adapter("castaneda-parts-17001"); !ok {
			b.Fatal("not found")
		}
	}
}
