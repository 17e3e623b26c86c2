package faker

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// The ports of a platform, from its port base.
const (
	portStore   = 30
	portList    = 31
	portControl = 32
	portEngine  = 41
	portWorker  = 61
)

// standinHeaderTimeout bounds how long a connection to a stand-in may take to send a call's header.
const standinHeaderTimeout = 10 * time.Second

// sampleRegion is the region of all failure domains.
const sampleRegion = "region-1"

// PlatformOptions describes a platform with its targets on loopback.
type PlatformOptions struct {
	// PortBase is the first port; 0 for any free ones.
	PortBase int
	Domains  []string
	// Engine is what the engines have in common; each domain has one for each base model.
	Engine EngineOptions
	Bases  []string
	// WorkerRunTime is how long a run of a plain service takes; each domain has one worker.
	WorkerRunTime time.Duration
	Store         StoreOptions
	List          ListOptions
}

// Platform is a store, a list, engines and application workers in one process, each on a socket of its own. Engines
// and workers stand behind links.
type Platform struct {
	options PlatformOptions
	store   *Store
	list    *List
	weights *WeightStore
	control *Control
	engines []*Engine
	workers []*Worker
	links   []*Link
	servers []*http.Server
	urls    platformURLs
}

type platformURLs struct {
	store, list, control string
}

// StartPlatform starts a platform; Close ends it.
func StartPlatform(options PlatformOptions) (*Platform, error) {
	pf := &Platform{
		options: options, store: NewStore(options.Store), list: NewList(options.List), weights: NewWeightStore(),
		control: NewControl(),
	}
	pf.control.Add("store", pf.store.FaultControl())
	pf.control.Add("list", pf.list.FaultControl())
	pf.control.Add("weights", pf.weights.FaultControl())
	if err := pf.start(); err != nil {
		return nil, errors.Join(err, pf.Close())
	}
	return pf, nil
}

func (pf *Platform) start() error {
	var err error
	if pf.urls.store, err = pf.serve(portStore, pf.store); err != nil {
		return err
	}
	if pf.urls.list, err = pf.serve(portList, pf.list); err != nil {
		return err
	}
	if pf.urls.control, err = pf.serve(portControl, pf.control); err != nil {
		return err
	}
	for _, domain := range pf.options.Domains {
		for index, base := range pf.options.Bases {
			if err := pf.addEngine(domain, base, index+1); err != nil {
				return err
			}
		}
		if err := pf.addWorker(domain); err != nil {
			return err
		}
	}
	pf.list.ApplyPending()
	return nil
}

// address returns the address for a port's offset.
func (pf *Platform) address(offset int) string {
	if pf.options.PortBase == 0 {
		return "127.0.0.1:0"
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(pf.options.PortBase+offset))
}

// listen starts a server and returns its address.
func (pf *Platform) listen(address string, handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	pf.servers = append(pf.servers, server)
	go func() { _ = server.Serve(socket) }()
	return socket.Addr().String(), nil
}

// serve starts a server and returns its URL.
func (pf *Platform) serve(offset int, handler http.Handler) (string, error) {
	address, err := pf.listen(pf.address(offset), handler)
	return "http://" + address, err
}

// serveLinked starts a server behind a link and returns the link's address.
func (pf *Platform) serveLinked(offset int, id string, handler http.Handler) (string, error) {
	target, err := pf.listen("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	lk, err := NewLink(pf.address(offset), target)
	if err != nil {
		return "", err
	}
	pf.links = append(pf.links, lk)
	pf.control.Add(id+"-link", lk.FaultControl())
	return lk.Address(), nil
}

func (pf *Platform) addEngine(domain, base string, number int) error {
	options := pf.options.Engine
	options.ID = fmt.Sprintf("engine-%s-%d", domain, number)
	options.Domain, options.Base, options.Weights = domain, base, pf.weights
	en := NewEngine(options)
	address, err := pf.serveLinked(portEngine+len(pf.engines), options.ID, en)
	if err != nil {
		return err
	}
	pf.engines = append(pf.engines, en)
	pf.control.Add(options.ID, en.FaultControl())
	pf.list.Register(Listing{Name: ServiceNameEngines, ID: options.ID, Address: address, Meta: map[string]string{
		MetaDomain: domain, MetaRegion: sampleRegion, MetaBase: base,
		MetaSlots: strconv.Itoa(en.options.Slots), MetaBatch: strconv.Itoa(en.options.Batch),
		MetaChecksFencing: strconv.FormatBool(options.ChecksFencing),
	}})
	return nil
}

// addWorker starts an application worker, which is listed once for each service that it runs.
func (pf *Platform) addWorker(domain string) error {
	id := "worker-" + domain
	wo := NewWorker(WorkerOptions{ID: id, Domain: domain, RunTime: pf.options.WorkerRunTime})
	address, err := pf.serveLinked(portWorker+len(pf.workers), id, wo)
	if err != nil {
		return err
	}
	pf.workers = append(pf.workers, wo)
	pf.control.Add(id, wo.FaultControl())
	for _, service := range SampleServices() {
		pf.list.Register(Listing{Name: ServiceNameServices, ID: id + "-" + service, Address: address, Meta: map[string]string{
			MetaDomain: domain, MetaRegion: sampleRegion, MetaService: service,
		}})
	}
	return nil
}

// RegisterInstance puts an instance with its address for peers on the list.
func (pf *Platform) RegisterInstance(id, domain, address string) {
	pf.list.Register(Listing{Name: ServiceNameInstances, ID: id, Address: address, Meta: map[string]string{
		MetaDomain: domain, MetaRegion: sampleRegion,
	}})
}

// Store returns the platform's store.
func (pf *Platform) Store() *Store { return pf.store }

// List returns the platform's list.
func (pf *Platform) List() *List { return pf.list }

// Engines returns the engines, domain by domain.
func (pf *Platform) Engines() []*Engine { return pf.engines }

// Workers returns the application workers, one for each domain.
func (pf *Platform) Workers() []*Worker { return pf.workers }

// Control returns the control handler of all stand-ins.
func (pf *Platform) Control() *Control { return pf.control }

// StoreURL returns the store's URL.
func (pf *Platform) StoreURL() string { return pf.urls.store }

// ListURL returns the list's URL.
func (pf *Platform) ListURL() string { return pf.urls.list }

// ControlURL returns the control interface's URL.
func (pf *Platform) ControlURL() string { return pf.urls.control }

// Close stops all stand-ins.
func (pf *Platform) Close() error {
	failures := make([]error, 0, len(pf.links)+len(pf.servers))
	for _, lk := range pf.links {
		failures = append(failures, lk.Close())
	}
	for _, server := range pf.servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}

// FreezeLinks makes all open connections to targets silent, while new ones work.
func (pf *Platform) FreezeLinks() {
	for _, lk := range pf.links {
		lk.Freeze()
	}
}
