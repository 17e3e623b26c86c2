package configurer

import (
	"strings"
	"time"

	"lovagebank/requester"
)

// Names of the operators' documents.
const (
	// DocumentPlans lists the organisations and their plans.
	DocumentPlans = "plans"
	// DocumentUses lists the plans and what they may use, the adapters and the services.
	DocumentUses = "uses"
	// DocumentKeys lists the callers' keys by hash.
	DocumentKeys = "keys"
)

// DocumentNames returns the names of all documents, in the order in which they are checked.
func DocumentNames() []string { return []string{DocumentPlans, DocumentUses, DocumentKeys} }

// Documents holds the texts of the operators' documents at one revision.
type Documents struct {
	plans string
	uses  string
	keys  string
}

// NewDocuments returns documents with the given INI texts.
func NewDocuments(plans, uses, keys string) Documents {
	return Documents{plans: plans, uses: uses, keys: keys}
}

// Text returns one document's text; ok is false if no document has that name.
func (do Documents) Text(name string) (text string, ok bool) {
	switch name {
	case DocumentPlans:
		return do.plans, true
	case DocumentUses:
		return do.uses, true
	case DocumentKeys:
		return do.keys, true
	default:
		return "", false
	}
}

// With returns a copy with one document's text replaced. An unknown name changes nothing.
func (do Documents) With(name, text string) Documents {
	switch name {
	case DocumentPlans:
		do.plans = text
	case DocumentUses:
		do.uses = text
	case DocumentKeys:
		do.keys = text
	}
	return do
}

const (
	maxRate          = 1e9
	maxBurst         = 1e12
	maxWeight        = 1e6
	minDeadline      = 10 * time.Millisecond
	maxDeadline      = 48 * time.Hour
	durationAllowed  = "a duration such as 30s or 8h, from 10ms to 48h"
	booleanAllowed   = "true or false"
	adaptersAllowed  = "adapter names, or prefixes that end in *, separated by commas"
	namesAllowed     = "names separated by commas; a name is " + nameAllowed
	hashAllowed      = "a SHA-256 hash in 64 hexadecimal digits"
	timestampAllowed = "a time such as 2030-12-31T00:00:00Z"
)

var organisationFields = []field[Organisation]{
	{
		key: "plan", allowed: "the name of a plan in the uses list", required: true,
		doc: "Plan that the organisation is on.",
		set: func(og *Organisation, value string) bool { og.plan = value; return validName(value) },
	},
}

var planFields = []field[Plan]{
	{
		key: "rate", allowed: "a number above 0 and up to 1e9", required: true,
		doc: "Tokens a second that each organisation on the plan may use, over all instances.",
		set: func(pl *Plan, value string) (ok bool) { pl.rate, ok = parseFloat(value, 1e-6, maxRate); return ok },
	},
	{
		key: "burst", allowed: "a number from 1 to 1e12", required: true,
		doc: "Most tokens that each organisation on the plan may use at once.",
		set: func(pl *Plan, value string) (ok bool) { pl.burst, ok = parseFloat(value, 1, maxBurst); return ok },
	},
	{
		key: "weight", allowed: "a number from 0.001 to 1e6", defaultValue: "1",
		doc: "Share in fair queueing among organisations that wait for the same target.",
		set: func(pl *Plan, value string) (ok bool) { pl.weight, ok = parseFloat(value, 1e-3, maxWeight); return ok },
	},
	{
		key: "urgency", allowed: "interactive, standard or deferrable", defaultValue: "standard",
		doc: "Urgency class of the plan's requests.",
		set: func(pl *Plan, value string) (ok bool) { pl.urgency, ok = requester.ParseUrgency(value); return ok },
	},
	{
		key: "deadline", allowed: durationAllowed, defaultValue: "60s",
		doc: "Time that a request has when the caller names none.",
		set: func(pl *Plan, value string) (ok bool) {
			pl.deadline, ok = parseDuration(value, minDeadline, maxDeadline)
			return ok
		},
	},
	{
		key: "adapters", allowed: adaptersAllowed,
		doc: "Adapters that the plan includes.",
		set: func(pl *Plan, value string) (ok bool) { pl.adapters, ok = parseList(value, validPattern); return ok },
	},
	{
		key: "services", allowed: namesAllowed,
		doc: "Plain services that the plan includes.",
		set: func(pl *Plan, value string) (ok bool) { pl.services, ok = parseList(value, validName); return ok },
	},
}

func validPattern(pattern string) bool {
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	return isPrefix && prefix == "" || validName(prefix)
}

var adapterFields = []field[Adapter]{
	{
		key: "organisation", allowed: "the name of an organisation in the plans list",
		doc: "Owner. Without one, any organisation whose plan includes the adapter may use it.",
		set: func(ad *Adapter, value string) bool { ad.organisation = value; return validName(value) },
	},
	{
		key: "base", allowed: nameAllowed, required: true,
		doc: "Base model that the adapter was made for.",
		set: func(ad *Adapter, value string) bool { ad.base = value; return validName(value) },
	},
	{
		key: "current", allowed: nameAllowed, required: true,
		doc: "Version that a request without one gets.",
		set: func(ad *Adapter, value string) bool { ad.current = value; return validName(value) },
	},
	{
		key: "versions", allowed: namesAllowed,
		doc: "All versions that may be asked for, the current one included. Without it, the current one alone.",
		set: func(ad *Adapter, value string) (ok bool) { ad.versions, ok = parseList(value, validName); return ok },
	},
}

var serviceFields = []field[Service]{
	{
		key: "open", allowed: booleanAllowed, defaultValue: "false",
		doc: "Whether requests need no key.",
		set: func(sv *Service, value string) (ok bool) { sv.open, ok = parseBool(value); return ok },
	},
	{
		key: "repeatable", allowed: booleanAllowed, defaultValue: "false",
		doc: "False when a request may run at most once.",
		set: func(sv *Service, value string) (ok bool) { sv.repeatable, ok = parseBool(value); return ok },
	},
	{
		key: "deadline", allowed: durationAllowed, defaultValue: "10s",
		doc: "Time that a request has when the caller names none.",
		set: func(sv *Service, value string) (ok bool) {
			sv.deadline, ok = parseDuration(value, minDeadline, maxDeadline)
			return ok
		},
	},
}

var keyFields = []field[Key]{
	{
		key: "organisation", allowed: "the name of an organisation in the plans list", required: true,
		doc: "Organisation that the key stands for.",
		set: func(ke *Key, value string) bool { ke.organisation = value; return validName(value) },
	},
	{
		key: "hash", allowed: hashAllowed, required: true,
		doc: "SHA-256 of the key. The key itself is stored nowhere.",
		set: func(ke *Key, value string) (ok bool) { ke.hash, ok = parseHash(value); return ok },
	},
	{
		key: "expires", allowed: timestampAllowed,
		doc: "Time after which the key is refused. Without it, the key does not expire.",
		set: func(ke *Key, value string) (ok bool) { ke.expires, ok = parseTime(value); return ok },
	},
	{
		key: "withdrawn", allowed: booleanAllowed, defaultValue: "false",
		doc: "Whether the key was withdrawn.",
		set: func(ke *Key, value string) (ok bool) { ke.withdrawn, ok = parseBool(value); return ok },
	},
}
