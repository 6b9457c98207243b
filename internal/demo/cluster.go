package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/bramleyspool/bramleyspool/examples"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/standin"
	"github.com/bramleyspool/bramleyspool/internal/template"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	operatorCredential = "demo-operator"
	credentialPrefix   = "demo-"
	crashMarker        = "CRASH-MARKER"
	keyValidity        = time.Hour
	loopback           = "127.0.0.1:0"
	// balancerLag is how long the balancer can still send calls to an entry that has reported
	// that it is not ready.
	balancerLag = 600 * time.Millisecond
	// openDelay is the time from the start until the services open.
	openDelay = 4 * time.Second

	// Options of the stand-ins, except orderLifetime; see standin.EngineOptions,
	// standin.PlainOptions and standin.NewVMs.
	stepDelay    = 4 * time.Millisecond
	batchDelay   = 300 * time.Microsecond
	prefillDelay = 200 * time.Microsecond
	plainDelay   = 3 * time.Millisecond
	restartDelay = time.Second
	// orderLifetime is a setting of the agents. It exceeds the time that an order can take to
	// reach a stand-in.
	orderLifetime   = 3 * time.Second
	loadLag         = 300 * time.Millisecond
	cacheEventDelay = 200 * time.Millisecond
	// Each 13th cache event is dropped.
	cacheGapEvery = 13
	vmListLag     = 2 * time.Second
)

// cluster is a deployment with all its stand-ins, in this process.
type cluster struct {
	document  published.Document
	config    *standin.ConfigService
	vmList    *standin.VMs
	vms       []*vm
	servers   []*server
	authority *wire.Authority
	groups    map[ident.Group]*modelGroup
	log       io.Writer
	logLevel  string
	platform  settings.Platform
	// layout is the layout of the configuration in the configuration service; "" means
	// settings.LayoutValue.
	layout string
	// opensAt is the time from which the services accept requests with run keys.
	opensAt time.Time
	ctx     context.Context
	network network.Network
}

// newCluster builds an example deployment and starts its processes.
func newCluster(ctx context.Context, options Options) (*cluster, error) {
	c := &cluster{groups: map[ident.Group]*modelGroup{}, log: options.Log, logLevel: options.LogLevel, ctx: ctx, network: options.network, config: standin.NewConfigService(standin.ConfigOptions{CallsPerSecond: 2000})}
	if err := c.readDocument(options.Deployment); err != nil {
		return nil, err
	}
	if options.adjustDocument != nil {
		options.adjustDocument(&c.document)
	}
	if options.Parts {
		c.layout = settings.LayoutParts
	}
	var err error
	if c.authority, err = wire.NewAuthority(time.Now(), keyValidity); err != nil {
		return nil, err
	}
	if err := c.servePlatform(); err != nil {
		return nil, err
	}
	if err := c.buildVMs(); err != nil {
		return nil, err
	}
	if err := c.publish(); err != nil {
		return nil, err
	}
	for _, v := range c.vms {
		v.start(ctx)
	}
	return c, nil
}

func (c *cluster) readDocument(name string) error {
	data, err := examples.Files.ReadFile(name + "/configuration.json")
	if err != nil {
		return fmt.Errorf("deployment %q: %w", name, err)
	}
	if _, problems := published.Accept(data); len(problems) > 0 {
		return fmt.Errorf("deployment %q: %w", name, problems)
	}
	if err := json.Unmarshal(data, &c.document); err != nil {
		return err
	}
	// Before OpenedAt, requests with run keys (idempotency keys) are refused. The entries are
	// expected to run within openDelay, so that no run key is older than an entry.
	c.opensAt = time.Now().Add(openDelay)
	for i := range c.document.Fleet.Services {
		c.document.Fleet.Services[i].OpenedAt = c.opensAt
	}
	return nil
}

func (c *cluster) servePlatform() error {
	config, err := serve(c.network, c.config)
	if err != nil {
		return err
	}
	c.vmList = standin.NewVMs(vmListLag, c.allVMs()...)
	list, err := serve(c.network, c.vmList)
	if err != nil {
		return err
	}
	c.servers = append(c.servers, config, list)
	c.platform = settings.Platform{ConfigurationLayout: c.layout, Configuration: config.url(), VMs: list.url()}
	return nil
}

func (c *cluster) allVMs() []ident.VM {
	var vms []ident.VM
	for _, entry := range c.document.Fleet.Entries {
		vms = append(vms, entry.VM)
	}
	for _, service := range c.document.Fleet.Services {
		for _, backend := range service.Backends {
			vms = append(vms, backend.VM)
		}
	}
	return vms
}

// buildVMs builds all processes. It replaces the addresses in the fleet document by those
// that the processes listen on.
func (c *cluster) buildVMs() error {
	// Seeds supply the configuration to other processes. The seeds of a process are the entries that
	// were built before it.
	var seeds []settings.Seed
	for i := range c.document.Fleet.Entries {
		entry := &c.document.Fleet.Entries[i]
		v, err := c.newVM(settings.RoleEntry, entry.VM, entry.Zone, entry.Region, seeds)
		if err != nil {
			return err
		}
		v.settings.Callers = &settings.Callers{Address: loopback}
		if err := c.addVM(v); err != nil {
			return err
		}
		entry.Address = v.settings.Peer.Address
		seeds = append(seeds, settings.Seed{VM: entry.VM, Zone: entry.Zone, Address: entry.Address})
	}
	for i := range c.document.Fleet.Services {
		service := &c.document.Fleet.Services[i]
		for j := range service.Backends {
			if err := c.buildAgent(service, &service.Backends[j], seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) buildAgent(service *fleet.ServiceDocument, backend *fleet.BackendServer, seeds []settings.Seed) error {
	v, err := c.newVM(settings.RoleAgent, backend.VM, backend.Zone, backend.Region, seeds)
	if err != nil {
		return err
	}
	v.settings.Backend = &settings.Backend{Kind: service.Kind}
	if service.Kind == template.KindModel {
		v.settings.Backend.OrderLifetimeMS = int(orderLifetime / time.Millisecond)
		v.engine = c.newEngine(service, backend)
		return c.addAgent(v, backend)
	}
	v.plain = standin.NewPlain(standin.PlainOptions{Delay: plainDelay, MaxRunning: backend.Capacity})
	return c.addAgent(v, backend)
}

// newEngine returns the engine of a new backend server: a rank of its group's stand-in, or a
// separate engine if it belongs to no group. For the first rank of a group, it creates the
// group's stand-in with all its ranks.
func (c *cluster) newEngine(service *fleet.ServiceDocument, backend *fleet.BackendServer) *standin.Engine {
	options := standin.EngineOptions{
		IgnoresFencing:  !service.HonoursFencing,
		StepDelay:       stepDelay,
		BatchDelay:      batchDelay,
		PrefillDelay:    prefillDelay,
		MaxRunning:      backend.Capacity,
		CacheEventDelay: cacheEventDelay,
		CacheGapEvery:   cacheGapEvery,
		LoadLag:         loadLag,
		CrashMarker:     crashMarker,
		RestartAfter:    restartDelay,
	}
	if backend.Group == "" {
		return standin.NewEngine(options)
	}
	group := c.groups[backend.Group]
	if group == nil {
		group = newModelGroup(options, groupRanks(service, backend.Group))
		c.groups[backend.Group] = group
	}
	return group.standIn.Rank(int(backend.Ranks[0]))
}

func (c *cluster) addAgent(v *vm, backend *fleet.BackendServer) error {
	var httpServer *server
	var err error
	if v.engine != nil {
		httpServer, err = serve(c.network, v.engine)
	} else {
		httpServer, err = serve(c.network, v.plain)
	}
	if err != nil {
		return err
	}
	c.servers = append(c.servers, httpServer)
	v.settings.Backend.URL = httpServer.url()
	if err := c.addVM(v); err != nil {
		return err
	}
	backend.Address = v.settings.Peer.Address
	return nil
}

// newVM returns a VM with its own settings and keys.
func (c *cluster) newVM(role settings.Role, name ident.VM, zone ident.Zone, region ident.Region, seeds []settings.Seed) (*vm, error) {
	pair, err := c.authority.Issue(wire.Identity{Role: string(role), Zone: zone, VM: name}, time.Now(), keyValidity)
	if err != nil {
		return nil, err
	}
	keys, err := wire.NewKeys(pair)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256([]byte(operatorCredential))
	s := &settings.Settings{
		VM:       name,
		Zone:     zone,
		Region:   region,
		Peer:     settings.Peer{Address: loopback, Seeds: seeds},
		Platform: c.platform,
		Admin:    settings.Admin{Address: loopback, CredentialSHA256: hex.EncodeToString(digest[:])},
		Log:      settings.Log{Level: c.logLevel},
		Shutdown: settings.Shutdown{BalancerLagMS: int(balancerLag / time.Millisecond)},
	}
	return &vm{name: name, role: role, settings: s, keys: keys, log: c.log, network: c.network}, nil
}

func (c *cluster) addVM(v *vm) error {
	v.settings.FillDefaults()
	if err := v.build(); err != nil {
		return err
	}
	c.vms = append(c.vms, v)
	return nil
}

// publish writes the current document to the configuration service.
func (c *cluster) publish() error {
	data, err := json.MarshalIndent(c.document, "", " ")
	if err != nil {
		return err
	}
	if _, problems := published.Accept(data); len(problems) > 0 {
		return problems
	}
	if c.platform.ConfigurationLayout != settings.LayoutParts {
		c.config.Set(published.Key, data)
		return nil
	}
	parts, err := published.Split(data)
	if err != nil {
		return err
	}
	for _, part := range parts.Parts {
		c.config.Set(part.Key, part.Body)
	}
	c.config.Set(published.Key, parts.Manifest)
	return nil
}

// restart builds and starts a new process of the VM.
func (c *cluster) restart(v *vm) error {
	if err := v.build(); err != nil {
		return err
	}
	v.start(c.ctx)
	return nil
}

// entries returns the entry VMs.
func (c *cluster) entries() []*vm {
	return c.withRole(settings.RoleEntry)
}

// agents returns the VMs of the backend servers.
func (c *cluster) agents() []*vm {
	return c.withRole(settings.RoleAgent)
}

func (c *cluster) withRole(role settings.Role) []*vm {
	var found []*vm
	for _, v := range c.vms {
		if v.role == role {
			found = append(found, v)
		}
	}
	return found
}

// runs returns the runs that all backend servers recorded.
func (c *cluster) runs() []standin.Run {
	var all []standin.Run
	for _, v := range c.vms {
		all = append(all, v.runs()...)
	}
	return all
}

// plainRuns returns the runs that the backend servers of plain services recorded.
func (c *cluster) plainRuns() []standin.Run {
	var all []standin.Run
	for _, v := range c.vms {
		if v.plain != nil {
			all = append(all, v.plain.Runs()...)
		}
	}
	return all
}

// close stops all processes and stand-ins.
func (c *cluster) close() {
	for _, v := range c.vms {
		v.cancel()
	}
	for _, v := range c.vms {
		<-v.ended
	}
	for _, s := range c.servers {
		s.close()
	}
	for _, group := range c.groups {
		group.standIn.Close()
	}
	for _, v := range c.vms {
		if v.engine != nil {
			v.engine.Close()
		}
	}
}
