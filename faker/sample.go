package faker

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// The sample organisations that other packages refer to.
const (
	SampleCastaneda = "castaneda"
	SampleIndus     = "indus"
)

// The base models of the sample deployments.
const (
	BaseCastaneda = "castaneda-base"
	BaseIndus     = "indus-base"
)

// sampleVersion is the current version of each sample adapter.
const sampleVersion = "1"

// sampleFamily is a group of adapters of one base model whose names differ only in a number.
type sampleFamily struct {
	name, base string
}

var sampleFamilies = []sampleFamily{
	{"castaneda-parts", BaseCastaneda},
	{"castaneda-warranty", BaseCastaneda},
	{"indus-notes", BaseIndus},
	{"indus-dossiers", BaseIndus},
}

// samplePlan is a plan of the sample with the organisations that it applies to.
type samplePlan struct {
	name, urgency, deadline, adapters, services string
	rate, burst                                 int
	organisations                               []string
}

var samplePlans = []samplePlan{
	{
		name: "castaneda-counter", urgency: "interactive", deadline: "10s", rate: 8000, burst: 40000,
		adapters: "castaneda-parts-*", services: "stock, orders",
		organisations: []string{SampleCastaneda, "castaneda-coban", "castaneda-quetzaltenango", "castaneda-peten"},
	},
	{
		name: "castaneda-overnight", urgency: "deferrable", deadline: "8h", rate: 4000, burst: 200000,
		adapters: "castaneda-warranty-*, castaneda-parts-*", services: "stock",
		organisations: []string{"castaneda-warranty"},
	},
	{
		name: "indus-branch", urgency: "interactive", deadline: "10s", rate: 8000, burst: 40000,
		adapters: "indus-notes-*, indus-dossiers-*", services: "certificates, plant-records",
		organisations: []string{SampleIndus, "indus-lahore", "indus-karachi", "indus-sukkur"},
	},
	{
		name: "indus-certification", urgency: "standard", deadline: "60s", rate: 6000, burst: 100000,
		adapters: "indus-dossiers-*", services: "certificates, plant-records",
		organisations: []string{"indus-engineers"},
	},
}

// sampleServices are the plain services of the sample; each application worker runs all of them.
var sampleServices = []struct {
	name             string
	open, repeatable bool
}{
	{"stock", false, true},
	{"orders", false, false},
	{"plant-records", false, true},
	{"certificates", false, false},
	{"opening-hours", true, true},
}

// Sample holds the operators' lists and the API keys of two small deployments.
type Sample struct {
	plans, uses, keys string
}

// NewSample returns lists with the given number of adapters in each family.
func NewSample(adapters int) *Sample {
	var plans, uses, keys strings.Builder
	for _, plan := range samplePlans {
		fmt.Fprintf(&uses, "[plan %s]\nrate = %d\nburst = %d\nurgency = %s\ndeadline = %s\nadapters = %s\nservices = %s\n\n",
			plan.name, plan.rate, plan.burst, plan.urgency, plan.deadline, plan.adapters, plan.services)
		for _, organisation := range plan.organisations {
			fmt.Fprintf(&plans, "[organisation %s]\nplan = %s\n\n", organisation, plan.name)
			fmt.Fprintf(&keys, "[key %s-1]\norganisation = %s\nhash = %x\n\n",
				organisation, organisation, sha256.Sum256([]byte(SampleKey(organisation))))
		}
	}
	for _, service := range sampleServices {
		fmt.Fprintf(&uses, "[service %s]\nopen = %t\nrepeatable = %t\n\n", service.name, service.open, service.repeatable)
	}
	for _, family := range sampleFamilies {
		for number := range adapters {
			fmt.Fprintf(&uses, "[adapter %s-%04d]\nbase = %s\ncurrent = %s\n\n",
				family.name, number+1, family.base, sampleVersion)
		}
	}
	return &Sample{plans: plans.String(), uses: uses.String(), keys: keys.String()}
}

// Plans returns the plans list in INI format.
func (sa *Sample) Plans() string { return sa.plans }

// Uses returns the uses list in INI format.
func (sa *Sample) Uses() string { return sa.uses }

// Keys returns the list of API keys, identified by their SHA-256 hashes, in INI format.
func (sa *Sample) Keys() string { return sa.keys }

// SampleServices returns the names of the plain services.
func SampleServices() []string {
	names := make([]string, 0, len(sampleServices))
	for _, service := range sampleServices {
		names = append(names, service.name)
	}
	return names
}

// SampleKey returns the API key of a sample organisation. It needs no protection, as the sample runs on loopback only.
func SampleKey(organisation string) string { return "lvb-sample-key-of-" + organisation }
