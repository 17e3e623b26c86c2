package supervisor

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"lovagebank/listener"
	"lovagebank/reserver"
)

// servers are the HTTP servers of an instance.
type servers struct {
	callers *http.Server
	others  []*http.Server
	bounded []*listener.Listener
}

// stopAccepting closes the listener of callers. Their open connections are served.
func (sv *servers) stopAccepting() { _ = sv.bounded[0].Close() }

func (sv *servers) close() {
	for _, other := range sv.others {
		_ = other.Close()
	}
	_ = sv.callers.Close()
}

const (
	// maxHeaderBytes and headerTimeout bound the reading of a request's header until the configured limits are known.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	// idleTimeout is longer than the idle timeouts of configurations: closing a connection at the moment it is reused
	// fails its caller's request.
	idleTimeout = 3 * time.Minute
	// writeStall is how long a client may take no byte of a response. A caller that reads at all takes some within a
	// retransmission or two.
	writeStall = 10 * time.Second
	// requestTimeout bounds a whole request and its response at listeners that serve short ones only.
	requestTimeout = 10 * time.Second
	// maxHeaderFields limits the fields of a header. Callers send about ten and proxies add a few dozen, while 16 KiB hold over
	// 3,000 fields of five bytes, each of which costs net/http some 200 bytes.
	maxHeaderFields = 256
)

// The limits on connections. Caller connections get half of the descriptors that are not set aside for files: the other
// half is for connections to targets, of which each request in progress needs one, to peers and from them.
const (
	fileDescriptors        = 200
	callerDescriptorShare  = 0.5
	peerDescriptorShare    = 0.2
	connectionMemoryShare  = 0.75
	perAddressShare        = 0.75
	maxReadyConnections    = 64
	maxMetricsConnections  = 32
	maxControlConnections  = 256
	minDescriptorsPerClass = 64
)

// descriptors returns the number of descriptors for connections.
func (su *Supervisor) descriptors() float64 {
	most := float64(su.settings.MaxDescriptors())
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (most <= 0 || float64(limit.Cur) < most) {
		most = float64(limit.Cur)
	}
	return max(most-fileDescriptors, 0)
}

// callerLimits returns the limits on callers' connections.
func (su *Supervisor) callerLimits() listener.Options {
	byMemory := connectionMemoryShare * float64(memoryBudget(su.settings).Limits[reserver.Connections]) / listener.ConnectionBytes
	total := max(math.Min(callerDescriptorShare*su.descriptors(), byMemory), minDescriptorsPerClass)
	return listener.Options{
		MaxConnections: int(total), MaxPerAddress: int(total * perAddressShare), MaxHeaderFields: maxHeaderFields,
		TooManyFields: su.acceptor.RefuseFields, WriteStall: writeStall, Reserver: su.reserver,
	}
}

// otherLimits returns the limits on the connections of a listener that is not for callers.
func (su *Supervisor) otherLimits(most int) listener.Options {
	return listener.Options{MaxConnections: most, MaxHeaderFields: maxHeaderFields, WriteStall: writeStall}
}

// endpoint is an HTTP server and the limits on its connections.
type endpoint struct {
	server *http.Server
	limits listener.Options
}

// shortEndpoint returns an endpoint for short requests without bodies.
func (su *Supervisor) shortEndpoint(address string, handler http.Handler, most int) endpoint {
	return endpoint{limits: su.otherLimits(most), server: &http.Server{
		Addr: address, Handler: listener.WithoutBody(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

// peerEndpoint returns an endpoint for the calls of peers.
func (su *Supervisor) peerEndpoint(address string, most int) endpoint {
	return endpoint{limits: su.otherLimits(most), server: &http.Server{
		Addr: address, Handler: su.boundPeerBodies(su.exchanger.Handler()),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

func (su *Supervisor) endpoints() []endpoint {
	callers := endpoint{limits: su.callerLimits(), server: &http.Server{
		Addr:              su.settings.CallerAddress(),
		Handler:           http.HandlerFunc(su.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	peers := max(int(peerDescriptorShare*su.descriptors()), minDescriptorsPerClass)
	list := []endpoint{
		callers,
		su.shortEndpoint(su.settings.ReadyAddress(), su.readyHandler(), maxReadyConnections),
		su.peerEndpoint(net.JoinHostPort(su.settings.IP(), su.settings.PeerPort()), peers),
	}
	if address := su.settings.ControlAddress(); address != "" {
		list = append(list, su.peerEndpoint(address, maxControlConnections))
	}
	if su.op.MetricsPort > 0 {
		address := net.JoinHostPort(su.settings.IP(), strconv.Itoa(su.op.MetricsPort))
		list = append(list, su.shortEndpoint(address, su.reporter.Handler(), maxMetricsConnections))
	}
	return list
}

// listen opens all listeners and serves them.
func (su *Supervisor) listen() (*servers, error) {
	sv := &servers{}
	for at, ep := range su.endpoints() {
		ep.server.ErrorLog = su.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
		inner, err := su.op.Listen("tcp4", ep.server.Addr)
		if err != nil {
			return nil, oops.Wrapf(err, "listen on %s", ep.server.Addr)
		}
		if at == 0 {
			sv.callers = ep.server
		} else {
			sv.others = append(sv.others, ep.server)
		}
		bounded := listener.Wrap(inner, ep.limits)
		bounded.Attach(ep.server)
		sv.bounded = append(sv.bounded, bounded)
		go func() {
			if err := ep.server.Serve(bounded); err != http.ErrServerClosed && !su.draining() {
				su.logger.Error("listener failed", "address", ep.server.Addr, "error", err)
			}
		}()
	}
	return sv, nil
}
