package configurer

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Settings holds the settings that an instance reads at startup. They do not change while it runs.
type Settings struct {
	id              string
	failureDomain   string
	region          string
	failureDomains  []string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	storeURL        string
	listURL         string
	storeTimeout    time.Duration
	storeCalls      int64
	loadsInFlight   int64
	seeds           []string
	secret          string
	tlsCertificate  string
	tlsKey          string
	tlsAuthority    string
	credentials     []Credential
	limits          Limits
	logLevel        string
}

// Limits holds an instance's limits on requests, connections, queues and times.
type Limits struct {
	headerBytes       int64
	bodyBytes         int64
	answerBytes       int64
	maxTokens         int64
	defaultMaxTokens  int64
	requestTime       time.Duration
	headerTime        time.Duration
	bodyTime          time.Duration
	callerSilenceTime time.Duration
	drainNotice       time.Duration
	idleTime          time.Duration
	silenceTime       time.Duration
	connections       int64
	memoryMB          int64
	queueLength       int64
	organisationQueue int64
	drainTime         time.Duration
	keyWindow         time.Duration
	answerTime        time.Duration
}

// Credential gives one operator access to the operators' interface. The token itself is not stored.
type Credential struct {
	operator string
	hash     [32]byte
}

// Operator returns the operator's name, as shown in the audit trail.
func (cr Credential) Operator() string { return cr.operator }

// Hash returns the SHA-256 of the operator's token.
func (cr Credential) Hash() [32]byte { return cr.hash }

// ID returns the instance's name; empty if the instance generates one.
func (st *Settings) ID() string { return st.id }

// FailureDomain returns the failure domain of the instance.
func (st *Settings) FailureDomain() string { return st.failureDomain }

// Region returns the region of the instance's failure domain.
func (st *Settings) Region() string { return st.region }

// FailureDomains returns all failure domains of the deployment, sorted.
func (st *Settings) FailureDomains() []string { return st.failureDomains }

// CallerAddress returns the address (IP:port) that callers use.
func (st *Settings) CallerAddress() string { return st.callerAddress }

// PeerAddress returns the address (IP:port) that other instances use.
func (st *Settings) PeerAddress() string { return st.peerAddress }

// OperatorAddress returns the address (IP:port) that operators use.
func (st *Settings) OperatorAddress() string { return st.operatorAddress }

// StoreURL returns the base URL of the platform's store.
func (st *Settings) StoreURL() string { return st.storeURL }

// ListURL returns the base URL of the platform's list of instances and targets.
func (st *Settings) ListURL() string { return st.listURL }

// StoreTimeout returns the maximum time of one call to the store, apart from watches.
func (st *Settings) StoreTimeout() time.Duration { return st.storeTimeout }

// StoreCalls returns the maximum number of calls per second that this instance makes to the store.
func (st *Settings) StoreCalls() int64 { return st.storeCalls }

// LoadsInFlight returns how many concurrent adapter loads, over all instances, the weight store serves at full speed.
func (st *Settings) LoadsInFlight() int64 { return st.loadsInFlight }

// Seeds returns the addresses (IP:port) of peers to ask first.
func (st *Settings) Seeds() []string { return st.seeds }

// Secret returns the secret that all instances share. It may be empty with mutual TLS.
func (st *Settings) Secret() string { return st.secret }

// TLSFiles returns the paths of certificate, key and authority for mutual TLS between instances. ok is false if mutual
// TLS is not configured.
func (st *Settings) TLSFiles() (certificate, key, authority string, ok bool) {
	return st.tlsCertificate, st.tlsKey, st.tlsAuthority, st.tlsCertificate != ""
}

// Credentials returns the credentials that give access to the operators' interface.
func (st *Settings) Credentials() []Credential { return st.credentials }

// Limits returns the limits on requests, connections, queues and times.
func (st *Settings) Limits() Limits { return st.limits }

// LogLevel returns the lowest level that is logged: debug, info, warn or error.
func (st *Settings) LogLevel() string { return st.logLevel }

// HeaderBytes returns the maximum size of a request header, in bytes.
func (li Limits) HeaderBytes() int64 { return li.headerBytes }

// BodyBytes returns the maximum size of a request body, in bytes.
func (li Limits) BodyBytes() int64 { return li.bodyBytes }

// AnswerBytes returns the maximum size of a stored answer, in bytes.
func (li Limits) AnswerBytes() int64 { return li.answerBytes }

// MaxTokens returns the maximum number of generated tokens that a caller may request.
func (li Limits) MaxTokens() int64 { return li.maxTokens }

// DefaultMaxTokens returns the maximum number of generated tokens if the caller gives no limit.
func (li Limits) DefaultMaxTokens() int64 { return li.defaultMaxTokens }

// RequestTime returns the longest deadline that a caller may set for a request that it waits for.
func (li Limits) RequestTime() time.Duration { return li.requestTime }

// HeaderTime returns the maximum time that a caller may take to send a request's header.
func (li Limits) HeaderTime() time.Duration { return li.headerTime }

// BodyTime returns the maximum time that a caller may take to send a request's body.
func (li Limits) BodyTime() time.Duration { return li.bodyTime }

// CallerSilenceTime returns how long a caller may accept no byte of its answer before it counts
// as disconnected.
func (li Limits) CallerSilenceTime() time.Duration { return li.callerSilenceTime }

// DrainNotice returns how long a draining instance still serves new callers, until the load balancer has noticed.
func (li Limits) DrainNotice() time.Duration { return li.drainNotice }

// IdleTime returns how long an unused connection stays open.
func (li Limits) IdleTime() time.Duration { return li.idleTime }

// SilenceTime returns how long a connection in use may be silent before it is dropped.
func (li Limits) SilenceTime() time.Duration { return li.silenceTime }

// Connections returns the maximum number of connections from callers.
func (li Limits) Connections() int64 { return li.connections }

// Memory returns the memory limit of the process in bytes; 0 for none.
func (li Limits) Memory() int64 { return li.memoryMB * 1e6 }

// QueueLength returns the maximum number of requests that wait for one target.
func (li Limits) QueueLength() int64 { return li.queueLength }

// OrganisationQueueLength returns the maximum number of requests of one organisation that wait for one target.
func (li Limits) OrganisationQueueLength() int64 { return li.organisationQueue }

// DrainTime returns how long a draining instance waits for the requests in progress.
func (li Limits) DrainTime() time.Duration { return li.drainTime }

// KeyWindow returns how long an idempotency key is kept.
func (li Limits) KeyWindow() time.Duration { return li.keyWindow }

// AnswerTime returns how long the answer of a deferred request is kept.
func (li Limits) AnswerTime() time.Duration { return li.answerTime }

// ReadSettings reads and checks a settings file. The error is of type Faults if the file could be read.
func ReadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, string(content))
}

// ParseSettings parses and checks settings given as text. document is the file name in error messages. The error is of
// type Faults.
func ParseSettings(document, text string) (*Settings, error) {
	var fl faultList
	st := &Settings{}
	sections := make(map[string]*section)
	readSections(document, text, &fl, func(se *section) {
		switch {
		case !slices.Contains(sectionNames(), se.header):
			fl.add(se.fault(se.line, "", "unknown section; allowed: ["+strings.Join(sectionNames(), "], [")+"]"))
		case sections[se.header] != nil:
			fl.add(se.fault(se.line, "", fmt.Sprintf("stands twice, first in line %d", sections[se.header].line)))
		default:
			sections[se.header] = se
		}
	})
	for _, sc := range settingSections {
		se := sections[sc.name]
		if se == nil {
			se = &section{document: document, header: sc.name}
		}
		apply(sc.fields, st, se, &fl)
	}
	st.complete(document, sections, &fl)
	if err := fl.err(); err != nil {
		return nil, err
	}
	return st, nil
}

// complete sets the values that are derived from other settings, and makes the checks that involve several keys.
func (st *Settings) complete(document string, sections map[string]*section, fl *faultList) {
	fault := func(section, key, message string) {
		fa := Fault{document: document, section: section, key: key, message: message}
		if se := sections[section]; se != nil {
			fa.line = se.entryLine(key)
		}
		fl.add(fa)
	}
	if st.listURL == "" {
		st.listURL = st.storeURL
	}
	if len(st.failureDomains) == 0 {
		st.failureDomains = []string{st.failureDomain}
	}
	slices.Sort(st.failureDomains)
	if !slices.Contains(st.failureDomains, st.failureDomain) {
		fault("instance", "failure-domains", "must include the instance's own failure domain "+st.failureDomain)
	}
	if st.callerAddress == st.peerAddress || st.callerAddress == st.operatorAddress || st.peerAddress == st.operatorAddress {
		fault("listen", "", "caller, peer and operator must be three different addresses")
	}
	given := 0
	for _, file := range []string{st.tlsCertificate, st.tlsKey, st.tlsAuthority} {
		if file != "" {
			given++
		}
	}
	switch {
	case given != 0 && given != 3:
		fault("peers", "tls-certificate", "tls-certificate, tls-key and tls-authority go together")
	case given == 0 && st.secret == "":
		fault("peers", "secret", "missing; allowed: a secret, or the three tls keys")
	}
	if st.limits.defaultMaxTokens > st.limits.maxTokens {
		fault("limits", "default-max-tokens", "must not be above max-tokens")
	}
}

func sectionNames() []string {
	names := make([]string, len(settingSections))
	for at, sc := range settingSections {
		names[at] = sc.name
	}
	return names
}
