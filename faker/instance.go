package faker

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// Operator name, operator token and peer secret of the sample deployments. They need no protection, as the sample runs
// on loopback only.
const (
	SampleOperator      = "sample"
	SampleOperatorToken = "sample-operator-token"
	samplePeerSecret    = "sample-secret-between-instances"
)

// InstanceOptions configures the settings of one instance.
type InstanceOptions struct {
	ID     string
	Domain string
	// CallerAddress, PeerAddress and OperatorAddress are listen addresses in the form IP:port.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// LogLevel is the minimum level that is logged.
	LogLevel string
	// Limits holds the lines of the limits section.
	Limits []string
}

// Settings returns the settings of an instance on the platform, in INI format.
func (pf *Platform) Settings(options InstanceOptions) string {
	return strings.Join([]string{
		"[instance]", "id = " + options.ID, "failure-domain = " + options.Domain, "region = " + sampleRegion,
		"failure-domains = " + strings.Join(pf.options.Domains, ", "),
		"[listen]", "caller = " + options.CallerAddress, "peer = " + options.PeerAddress,
		"operator = " + options.OperatorAddress,
		"[platform]", "store = " + pf.urls.store, "list = " + pf.urls.list,
		"[peers]", "secret = " + samplePeerSecret,
		"[operators]",
		fmt.Sprintf("credentials = %s:%x", SampleOperator, sha256.Sum256([]byte(SampleOperatorToken))),
		"[limits]", strings.Join(options.Limits, "\n"),
		"[log]", "level = " + options.LogLevel, "",
	}, "\n")
}
