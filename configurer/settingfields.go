package configurer

import (
	"fmt"
	"strings"
	"time"
)

// section is one section of the settings.
type section struct {
	name   string
	doc    string
	fields []field[Settings]
}

const (
	addressAllowed = "an IP number with a port, such as 10.0.0.5:8080 or [fd00::5]:8080"
	urlAllowed     = "a URL such as http://10.0.0.9:8500, its host an IP number"
	leastSecret    = 16
)

var settingSections = []section{
	{name: "instance", doc: "Who and where this instance is.", fields: instanceFields},
	{name: "listen", doc: "Addresses that this instance listens on.", fields: listenFields},
	{name: "platform", doc: "What the platform provides.", fields: platformFields},
	{name: "peers", doc: "Other instances, and how they know each other.", fields: peerFields},
	{name: "operators", doc: "Who may use the operators' interface.", fields: operatorFields},
	{name: "limits", doc: "Bounds on what the instance takes on.", fields: limitFields},
	{name: "log", doc: "Logs, which go to standard error.", fields: logFields},
}

// text describes a key whose value is kept as it stands.
func text(key, allowed, doc string, into func(*Settings) *string, valid func(string) bool) field[Settings] {
	return field[Settings]{key: key, allowed: allowed, doc: doc, set: func(st *Settings, value string) bool {
		*into(st) = value
		return valid(value)
	}}
}

// list describes a key whose value is a comma-separated list.
func list(key, allowed, doc string, into func(*Settings) *[]string, valid func(string) bool) field[Settings] {
	return field[Settings]{key: key, allowed: allowed, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseList(value, valid)
		return ok
	}}
}

// count describes a key whose value is a whole number.
func count(key, usual string, least, most int64, doc string, into func(*Settings) *int64) field[Settings] {
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	return field[Settings]{key: key, allowed: allowed, usual: usual, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseInt(value, least, most)
		return ok
	}}
}

// duration describes a key whose value is a time span.
func duration(key, usual string, least, most time.Duration, doc string, into func(*Settings) *time.Duration) field[Settings] {
	allowed := fmt.Sprintf("a duration such as %s, from %s to %s", usual, least, most)
	return field[Settings]{key: key, allowed: allowed, usual: usual, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseDuration(value, least, most)
		return ok
	}}
}

// private marks a key whose value is never shown.
func private(fd field[Settings]) field[Settings] {
	fd.private = true
	return fd
}

// must marks a key as required.
func must(fd field[Settings]) field[Settings] {
	fd.required = true
	return fd
}

var instanceFields = []field[Settings]{
	text("id", nameAllowed, "Name of the instance. Without it, one is made up at each start.",
		func(st *Settings) *string { return &st.id }, validName),
	must(text("failure-domain", nameAllowed, "Failure domain that the instance runs in.",
		func(st *Settings) *string { return &st.failureDomain }, validName)),
	must(text("region", nameAllowed, "Region of that failure domain.",
		func(st *Settings) *string { return &st.region }, validName)),
	list("failure-domains", namesAllowed,
		"All failure domains of the deployment, the same on each instance. Without it, the instance's own alone.",
		func(st *Settings) *[]string { return &st.failureDomains }, validName),
}

var listenFields = []field[Settings]{
	must(text("caller", addressAllowed, "Address for callers.",
		func(st *Settings) *string { return &st.callerAddress }, validAddress)),
	must(text("peer", addressAllowed, "Address for other instances, as they reach it.",
		func(st *Settings) *string { return &st.peerAddress }, validAddress)),
	must(text("operator", addressAllowed, "Address for operators.",
		func(st *Settings) *string { return &st.operatorAddress }, validAddress)),
}

var platformFields = []field[Settings]{
	must(text("store", urlAllowed, "The platform's store.", func(st *Settings) *string { return &st.storeURL }, validURL)),
	text("list", urlAllowed, "The platform's list of instances and targets. Without it, the store's URL.",
		func(st *Settings) *string { return &st.listURL }, validURL),
	duration("store-timeout", "2s", 50*time.Millisecond, time.Minute, "How long one call to the store may take, watches apart.",
		func(st *Settings) *time.Duration { return &st.storeTimeout }),
	count("store-calls", "50", 1, 10000, "Most calls a second that this instance makes to the store.",
		func(st *Settings) *int64 { return &st.storeCalls }),
	count("loads-in-flight", "24", 1, 10000, "Adapter loads, over all instances, that the weight store serves at full speed.",
		func(st *Settings) *int64 { return &st.loadsInFlight }),
}

var peerFields = []field[Settings]{
	list("seeds", "addresses separated by commas; an address is "+addressAllowed,
		"Peers to ask when the platform's list is away.",
		func(st *Settings) *[]string { return &st.seeds }, validAddress),
	private(text("secret", "at least 16 printable characters without spaces",
		"Secret that all instances share, in place of TLS.",
		func(st *Settings) *string { return &st.secret }, validSecret)),
	text("tls-certificate", "the path of a PEM file", "Certificate of this instance for mutual TLS between instances.",
		func(st *Settings) *string { return &st.tlsCertificate }, notEmpty),
	text("tls-key", "the path of a PEM file", "Private key of that certificate.",
		func(st *Settings) *string { return &st.tlsKey }, notEmpty),
	text("tls-authority", "the path of a PEM file", "Certificates of the authority that signed all instances' certificates.",
		func(st *Settings) *string { return &st.tlsAuthority }, notEmpty),
}

var operatorFields = []field[Settings]{
	{
		key: "credentials", allowed: "name:hash pairs separated by commas; a hash is the SHA-256 of the token in 64 hexadecimal digits",
		doc:     "Operators with the hashes of their tokens. Without it, no operator command is served.",
		set:     setCredentials,
		private: true,
	},
}

var limitFields = []field[Settings]{
	count("header-bytes", "32768", 1024, 1<<20, "Largest request header, in bytes.",
		func(st *Settings) *int64 { return &st.limits.headerBytes }),
	count("body-bytes", "4194304", 1024, 64<<20, "Largest request body, in bytes.",
		func(st *Settings) *int64 { return &st.limits.bodyBytes }),
	count("answer-bytes", "262144", 1024, 512<<10, "Largest answer that is stored, in bytes.",
		func(st *Settings) *int64 { return &st.limits.answerBytes }),
	count("max-tokens", "8192", 1, 1<<20, "Most tokens that a caller may ask to have generated.",
		func(st *Settings) *int64 { return &st.limits.maxTokens }),
	count("default-max-tokens", "512", 1, 1<<20, "Most tokens generated for a caller that names no bound.",
		func(st *Settings) *int64 { return &st.limits.defaultMaxTokens }),
	duration("request-time", "10m", time.Second, 24*time.Hour, "Longest time that a caller may wait for an answer.",
		func(st *Settings) *time.Duration { return &st.limits.requestTime }),
	duration("header-time", "10s", 100*time.Millisecond, 5*time.Minute, "How long a caller may take to send a request's header.",
		func(st *Settings) *time.Duration { return &st.limits.headerTime }),
	duration("body-time", "30s", 100*time.Millisecond, 10*time.Minute, "How long a caller may take to send a request's body.",
		func(st *Settings) *time.Duration { return &st.limits.bodyTime }),
	duration("caller-silence-time", "30s", 100*time.Millisecond, 10*time.Minute, "How long a caller may take no byte of its answer before it counts as gone.",
		func(st *Settings) *time.Duration { return &st.limits.callerSilenceTime }),
	duration("drain-notice", "2s", 0, time.Minute, "How long a leaving instance still serves new callers, until the balancer has noticed.",
		func(st *Settings) *time.Duration { return &st.limits.drainNotice }),
	duration("idle-time", "2m", time.Second, time.Hour, "How long an unused connection stays open.",
		func(st *Settings) *time.Duration { return &st.limits.idleTime }),
	duration("silence-time", "5s", 100*time.Millisecond, 5*time.Minute, "How long a connection in use may be silent before it is dropped.",
		func(st *Settings) *time.Duration { return &st.limits.silenceTime }),
	count("connections", "4096", 1, 1<<20, "Most connections of callers.",
		func(st *Settings) *int64 { return &st.limits.connections }),
	count("queue-length", "1024", 1, 1<<20, "Most requests that wait for one target.",
		func(st *Settings) *int64 { return &st.limits.queueLength }),
	count("organisation-queue-length", "256", 1, 1<<20, "Most requests of one organisation that wait for one target.",
		func(st *Settings) *int64 { return &st.limits.organisationQueue }),
	duration("drain-time", "2m", time.Second, time.Hour, "How long a leaving instance waits for the requests in progress.",
		func(st *Settings) *time.Duration { return &st.limits.drainTime }),
	duration("key-window", "24h", time.Minute, 7*24*time.Hour, "How long an idempotency key is remembered.",
		func(st *Settings) *time.Duration { return &st.limits.keyWindow }),
	duration("answer-time", "24h", time.Minute, 7*24*time.Hour, "How long the answer of a deferred request is kept.",
		func(st *Settings) *time.Duration { return &st.limits.answerTime }),
}

var logFields = []field[Settings]{
	{
		key: "level", allowed: "debug, info, warn or error", usual: "info", doc: "Least level that is logged.",
		set: func(st *Settings, value string) bool {
			st.logLevel = value
			return value == "debug" || value == "info" || value == "warn" || value == "error"
		},
	},
}

func notEmpty(value string) bool { return value != "" }

// validSecret tells whether a secret is long enough and fits into a header.
func validSecret(value string) bool {
	odd := func(ch rune) bool { return ch <= ' ' || ch > '~' }
	return len(value) >= leastSecret && !strings.ContainsFunc(value, odd)
}

func setCredentials(st *Settings, value string) bool {
	st.credentials = nil
	for _, pair := range splitList(value) {
		operator, digits, _ := strings.Cut(pair, ":")
		hash, ok := parseHash(digits)
		if !ok || !validName(operator) {
			return false
		}
		st.credentials = append(st.credentials, Credential{operator: operator, hash: hash})
	}
	return true
}
