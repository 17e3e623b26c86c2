package configurer

import (
	"fmt"
	"strings"
	"time"
)

// sectionSpec describes one section of the settings.
type sectionSpec struct {
	name   string
	doc    string
	fields []field[Settings]
}

const (
	addressAllowed  = "an IP number with a port, such as 10.0.0.5:8080 or [fd00::5]:8080"
	urlAllowed      = "a URL such as http://10.0.0.9:8500, its host an IP number"
	minSecretLength = 16
)

var settingSections = []sectionSpec{
	{name: "instance", doc: "Identity and location of this instance.", fields: instanceFields},
	{name: "listen", doc: "Addresses that this instance listens on.", fields: listenFields},
	{name: "platform", doc: "Access to the platform and limits on its use.", fields: platformFields},
	{name: "peers", doc: "Other instances, and how instances authenticate each other.", fields: peerFields},
	{name: "operators", doc: "Access to the operators' interface.", fields: operatorFields},
	{name: "limits", doc: "Limits on requests, connections, queues and times.", fields: limitFields},
	{name: "log", doc: "Logging. Logs go to standard error.", fields: logFields},
}

// textField describes a key whose value is stored unchanged.
func textField(key, allowed, doc string, into func(*Settings) *string, valid func(string) bool) field[Settings] {
	return field[Settings]{key: key, allowed: allowed, doc: doc, set: func(st *Settings, value string) bool {
		*into(st) = value
		return valid(value)
	}}
}

// listField describes a key whose value is a comma-separated list.
func listField(key, allowed, doc string, into func(*Settings) *[]string, valid func(string) bool) field[Settings] {
	return field[Settings]{key: key, allowed: allowed, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseList(value, valid)
		return ok
	}}
}

// integerField describes a key whose value is a whole number.
func integerField(key, defaultValue string, minimum, maximum int64, doc string, into func(*Settings) *int64) field[Settings] {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return field[Settings]{key: key, allowed: allowed, defaultValue: defaultValue, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseInt(value, minimum, maximum)
		return ok
	}}
}

// durationField describes a key whose value is a duration.
func durationField(key, defaultValue string, minimum, maximum time.Duration, doc string, into func(*Settings) *time.Duration) field[Settings] {
	allowed := fmt.Sprintf("a duration such as %s, from %s to %s", defaultValue, minimum, maximum)
	return field[Settings]{key: key, allowed: allowed, defaultValue: defaultValue, doc: doc, set: func(st *Settings, value string) (ok bool) {
		*into(st), ok = parseDuration(value, minimum, maximum)
		return ok
	}}
}

// sensitiveField marks a key whose value is left out of error messages.
func sensitiveField(fd field[Settings]) field[Settings] {
	fd.sensitive = true
	return fd
}

// requiredField marks a key as required.
func requiredField(fd field[Settings]) field[Settings] {
	fd.required = true
	return fd
}

var instanceFields = []field[Settings]{
	textField("id", nameAllowed, "Name of the instance. If absent, a name is generated at each start.",
		func(st *Settings) *string { return &st.id }, validName),
	requiredField(textField("failure-domain", nameAllowed, "Failure domain that the instance runs in.",
		func(st *Settings) *string { return &st.failureDomain }, validName)),
	requiredField(textField("region", nameAllowed, "Region of that failure domain.",
		func(st *Settings) *string { return &st.region }, validName)),
	listField("failure-domains", namesAllowed,
		"All failure domains of the deployment, identical on all instances. If absent, only the instance's own.",
		func(st *Settings) *[]string { return &st.failureDomains }, validName),
}

var listenFields = []field[Settings]{
	requiredField(textField("caller", addressAllowed, "Address for callers.",
		func(st *Settings) *string { return &st.callerAddress }, validAddress)),
	requiredField(textField("peer", addressAllowed, "Address at which other instances reach this one.",
		func(st *Settings) *string { return &st.peerAddress }, validAddress)),
	requiredField(textField("operator", addressAllowed, "Address for operators.",
		func(st *Settings) *string { return &st.operatorAddress }, validAddress)),
}

var platformFields = []field[Settings]{
	requiredField(textField("store", urlAllowed, "Base URL of the platform's store.", func(st *Settings) *string { return &st.storeURL }, validURL)),
	textField("list", urlAllowed, "Base URL of the platform's list of instances and targets. If absent, the store's URL.",
		func(st *Settings) *string { return &st.listURL }, validURL),
	durationField("store-timeout", "2s", 50*time.Millisecond, time.Minute, "Maximum time of one call to the store, apart from watches.",
		func(st *Settings) *time.Duration { return &st.storeTimeout }),
	integerField("store-calls", "50", 1, 10000, "Maximum number of calls per second that this instance makes to the store.",
		func(st *Settings) *int64 { return &st.storeCalls }),
	integerField("loads-in-flight", "24", 1, 10000, "Number of concurrent adapter loads, over all instances, that the weight store serves at full speed.",
		func(st *Settings) *int64 { return &st.loadsInFlight }),
}

var peerFields = []field[Settings]{
	listField("seeds", "addresses separated by commas; an address is "+addressAllowed,
		"Peers to ask when the platform's list is unavailable.",
		func(st *Settings) *[]string { return &st.seeds }, validAddress),
	sensitiveField(textField("secret", "at least 16 printable characters without spaces",
		"Secret that all instances share, instead of TLS.",
		func(st *Settings) *string { return &st.secret }, validSecret)),
	textField("tls-certificate", "the path of a PEM file", "Certificate of this instance for mutual TLS between instances.",
		func(st *Settings) *string { return &st.tlsCertificate }, notEmpty),
	textField("tls-key", "the path of a PEM file", "Private key of that certificate.",
		func(st *Settings) *string { return &st.tlsKey }, notEmpty),
	textField("tls-authority", "the path of a PEM file", "Certificates of the authority that signed all instances' certificates.",
		func(st *Settings) *string { return &st.tlsAuthority }, notEmpty),
}

var operatorFields = []field[Settings]{
	{
		key: "credentials", allowed: "name:hash pairs separated by commas; a hash is the SHA-256 of the token in 64 hexadecimal digits",
		doc:       "Operators and the hashes of their tokens. If absent, operator commands are not served.",
		set:       setCredentials,
		sensitive: true,
	},
}

var limitFields = []field[Settings]{
	integerField("header-bytes", "32768", 1024, 1<<20, "Maximum size of a request header, in bytes.",
		func(st *Settings) *int64 { return &st.limits.headerBytes }),
	integerField("body-bytes", "4194304", 1024, 64<<20, "Maximum size of a request body, in bytes.",
		func(st *Settings) *int64 { return &st.limits.bodyBytes }),
	integerField("answer-bytes", "262144", 1024, 512<<10, "Maximum size of a stored answer, in bytes.",
		func(st *Settings) *int64 { return &st.limits.answerBytes }),
	integerField("max-tokens", "8192", 1, 1<<20, "Maximum number of generated tokens that a caller may request.",
		func(st *Settings) *int64 { return &st.limits.maxTokens }),
	integerField("default-max-tokens", "512", 1, 1<<20, "Maximum number of generated tokens if the caller gives no limit.",
		func(st *Settings) *int64 { return &st.limits.defaultMaxTokens }),
	durationField("request-time", "10m", time.Second, 24*time.Hour, "Maximum time that a caller may wait for an answer.",
		func(st *Settings) *time.Duration { return &st.limits.requestTime }),
	durationField("header-time", "10s", 100*time.Millisecond, 5*time.Minute, "Maximum time that a caller may take to send a request's header.",
		func(st *Settings) *time.Duration { return &st.limits.headerTime }),
	durationField("body-time", "30s", 100*time.Millisecond, 10*time.Minute, "Maximum time that a caller may take to send a request's body.",
		func(st *Settings) *time.Duration { return &st.limits.bodyTime }),
	durationField("caller-silence-time", "30s", 100*time.Millisecond, 10*time.Minute, "How long a caller may accept no byte of its answer before it counts as disconnected.",
		func(st *Settings) *time.Duration { return &st.limits.callerSilenceTime }),
	durationField("drain-notice", "2s", 0, time.Minute, "How long a draining instance still serves new callers, until the load balancer has noticed.",
		func(st *Settings) *time.Duration { return &st.limits.drainNotice }),
	durationField("idle-time", "2m", time.Second, time.Hour, "How long an unused connection stays open.",
		func(st *Settings) *time.Duration { return &st.limits.idleTime }),
	durationField("silence-time", "5s", 100*time.Millisecond, 5*time.Minute, "How long a connection in use may be silent before it is dropped.",
		func(st *Settings) *time.Duration { return &st.limits.silenceTime }),
	integerField("connections", "4096", 1, 1<<20, "Maximum number of connections from callers.",
		func(st *Settings) *int64 { return &st.limits.connections }),
	integerField("memory-mb", "0", 0, 1<<20, "Memory limit of the process, in MB. Bodies of callers' requests are refused before they exceed their share of it. 0 for no limit.",
		func(st *Settings) *int64 { return &st.limits.memoryMB }),
	integerField("queue-length", "1024", 1, 1<<20, "Maximum number of requests that wait for one target.",
		func(st *Settings) *int64 { return &st.limits.queueLength }),
	integerField("organisation-queue-length", "256", 1, 1<<20, "Maximum number of requests of one organisation that wait for one target.",
		func(st *Settings) *int64 { return &st.limits.organisationQueue }),
	durationField("drain-time", "2m", time.Second, time.Hour, "How long a draining instance waits for the requests in progress.",
		func(st *Settings) *time.Duration { return &st.limits.drainTime }),
	durationField("key-window", "24h", time.Minute, 7*24*time.Hour, "How long an idempotency key is kept.",
		func(st *Settings) *time.Duration { return &st.limits.keyWindow }),
	durationField("answer-time", "24h", time.Minute, 7*24*time.Hour, "How long the answer of a deferred request is kept.",
		func(st *Settings) *time.Duration { return &st.limits.answerTime }),
}

var logFields = []field[Settings]{
	{
		key: "level", allowed: "debug, info, warn or error", defaultValue: "info", doc: "Lowest level that is logged.",
		set: func(st *Settings, value string) bool {
			st.logLevel = value
			return value == "debug" || value == "info" || value == "warn" || value == "error"
		},
	},
}

func notEmpty(value string) bool { return value != "" }

// validSecret reports whether a secret is long enough and can be sent in a header.
func validSecret(value string) bool {
	invalid := func(ch rune) bool { return ch <= ' ' || ch > '~' }
	return len(value) >= minSecretLength && !strings.ContainsFunc(value, invalid)
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
