package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// storeView is an address of the store at which the entries of targets name the addresses for one failure domain.
type storeView struct {
	server  *http.Server
	address string
}

// firstLinkPort is the first port of links from failure domains to targets. The kernel assigns none of these ports
// itself, so that a link can stop listening for a while.
const firstLinkPort = 10000

// TargetPath is the path from the instances of a failure domain to a target: a link listens at one address and forwards
// to the other.
type TargetPath struct {
	Domain string
	Target string
	Listen string
	To     string
}

// linkDomains returns the addresses of a target for the instances of each failure domain; none without Options.DomainLink.
func (fl *Fleet) linkDomains(target, address string) (map[string]string, error) {
	addresses := make(map[string]string)
	if fl.op.DomainLink == nil {
		return addresses, nil
	}
	for number := range fl.op.Zones {
		domain := fl.zone(number)
		tp := TargetPath{Domain: domain, Target: target, Listen: fl.linkAddress(domain, target), To: address}
		if err := fl.op.DomainLink(tp); err != nil {
			return nil, err
		}
		addresses[domain] = tp.Listen
	}
	return addresses, nil
}

// linkAddress returns the address of the link from a failure domain to a target, in the network that only this fleet uses.
func (fl *Fleet) linkAddress(domain, target string) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	key := domain + "/" + target
	if _, ok := fl.linkAddresses[key]; !ok {
		fl.linkAddresses[key] = net.JoinHostPort(fl.network.linkHost(), strconv.Itoa(firstLinkPort+len(fl.linkAddresses)))
	}
	return fl.linkAddresses[key]
}

// Reregister writes the entries of all targets that have not left again. An instance that has fetched entries from an
// instance of another failure domain, as it does while the store fails, has the addresses of that domain until they are
// written again.
func (fl *Fleet) Reregister() error {
	for _, id := range fl.TargetIDs() {
		ta := fl.Target(id)
		if ta == nil {
			continue
		}
		if _, leftAt := ta.LateArrivals(); !leftAt.IsZero() {
			continue
		}
		if err := fl.register(ta); err != nil {
			return err
		}
	}
	return nil
}

// storeView returns the address of the store for the instances of a failure domain.
func (fl *Fleet) storeView(domain string) (string, error) {
	if fl.op.DomainLink == nil {
		return fl.address, nil
	}
	if view, ok := fl.views[domain]; ok {
		return view.address, nil
	}
	listener, err := fl.op.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	view := &storeView{address: listener.Addr().String(), server: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fl.store.serve(w, r, func(it item) item { return fl.domainItem(domain, it) })
		}),
		ReadHeaderTimeout: time.Second,
	}}
	fl.views[domain] = view
	go func() { _ = view.server.Serve(listener) }()
	return view.address, nil
}

// domainItem returns an item as the instances of a failure domain see it.
func (fl *Fleet) domainItem(domain string, it item) item {
	id, ok := strings.CutPrefix(it.Key, "servers/")
	if !ok || it.Deleted {
		return it
	}
	fl.mu.Lock()
	address, linked := fl.domainAddresses[id][domain]
	fl.mu.Unlock()
	var entry map[string]any
	if !linked || json.Unmarshal(it.Value, &entry) != nil {
		return it
	}
	entry["addr"] = address
	text, err := json.Marshal(entry)
	if err != nil {
		return it
	}
	it.Value = text
	return it
}
