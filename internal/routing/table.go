package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RequestKind says what may be repeated of a route's requests.
type RequestKind uint8

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota + 1
	// NotIdempotent requests run at most once.
	NotIdempotent
	// EventStream requests are answered by a stream of server-sent events.
	EventStream
)

// String returns the kind as it is logged.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NotIdempotent:
		return "not-idempotent"
	case EventStream:
		return "stream"
	}
	return "invalid"
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Resumable streams may go on at another backend server after their last whole event.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// EventGap is the longest pause between two events of a stream that is on time; 0 if none is set.
	EventGap time.Duration
	// MaxServers is the greatest number of backend servers that may run one request.
	MaxServers int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes take requests without a credential.
	Public bool
	// Shares are the services of the route with their weights; the weights are positive.
	Shares []ServiceShare
}

// ServiceShare is a service's weight on a route.
type ServiceShare struct {
	Service ident.Service
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == EventStream && r.Resumable
}

// Choose returns the service for a draw, which is uniform over all numbers.
func (r *Route) Choose(draw uint64) ident.Service {
	total := uint64(0)
	for _, share := range r.Shares {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return ""
	}
	left := draw % total
	for _, share := range r.Shares {
		if left < uint64(share.Weight) {
			return share.Service
		}
		left -= uint64(share.Weight)
	}
	return ""
}

// EngineModel predicts the pace of a model engine whose ranks run in lock-step.
type EngineModel struct {
	// Slots is the number of requests that a rank runs at once.
	Slots int
	// Step is the time of a step without requests.
	Step time.Duration
	// PerWriter is what each request that writes adds to a step.
	PerWriter time.Duration
	// PerContextToken is what a token of context adds to a step.
	PerContextToken time.Duration
	// ReadRate is the number of prompt tokens that a rank reads in a second.
	ReadRate float64
	// ReadChunk is the greatest number of prompt tokens read in a step.
	ReadChunk int
	// StepsPerPass is the number of steps of a pass, which ends with an event of each stream.
	StepsPerPass int
	// CacheTokens is the number of tokens that a rank's memory holds.
	CacheTokens int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt, UsualAnswer int
	// Experts describes the expert layers; its Layers are 0 for an engine without any.
	Experts ExpertLayers
}

// ReadsPerSecond returns the number of prompt tokens that a rank reads in a second while it writes too: one chunk a pass.
func (e *EngineModel) ReadsPerSecond(pass time.Duration) float64 {
	if idle := e.Step * time.Duration(e.StepsPerPass); pass < idle {
		pass = idle
	}
	return float64(e.ReadChunk) / pass.Seconds()
}

// ExpertLayers is the size of an engine's expert layers.
type ExpertLayers struct {
	// Layers is the number of sets of experts with a placement of their own.
	Layers int
	// Experts is the number of experts in a layer.
	Experts int
	// Slots is the number of experts that a rank holds in a layer.
	Slots int
	// NewPerLayer is the greatest number of experts in a layer that a rank can load for one map.
	NewPerLayer int
	// Share is the part of the work for tokens that experts do.
	Share float64
	// LoadTime is the time in which a rank loads one expert.
	LoadTime time.Duration
}

// LoadsWithin returns the number of experts that a rank loads in a time, one at least.
func (l ExpertLayers) LoadsWithin(limit time.Duration) int {
	if l.LoadTime <= 0 {
		return l.Layers * l.NewPerLayer
	}
	return max(int(limit/l.LoadTime), 1)
}

// DirectService is a service that entries send requests to without an agent between.
type DirectService struct {
	Name ident.Service
	// HealthPath is a path that a healthy backend server answers with 200.
	HealthPath string
	// MaxConns is the greatest number of connections that one backend server accepts.
	MaxConns int
	// Engine is the model of the service's engine; nil for plain services.
	Engine *EngineModel
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// CustomerAccess is what a credential stands for.
type CustomerAccess struct {
	Customer ident.Customer
	// Priority goes before the route's if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Table is one version of the routes, services and credentials. It is never changed once built.
type Table struct {
	Version uint64
	Limits  CallerLimits
	// CredentialsRequired is false if all requests are taken without a credential.
	CredentialsRequired bool

	routes    map[string][]*Route
	services  map[ident.Service]*DirectService
	customers map[string]CustomerAccess
	customerN int
}

// NewTable returns a table of the routes, services and credentials.
func NewTable(version uint64, limits CallerLimits, routes []Route, services []DirectService, credentials map[string]CustomerAccess) *Table {
	table := &Table{
		Version: version, Limits: limits, CredentialsRequired: credentials != nil,
		routes:    map[string][]*Route{},
		services:  make(map[ident.Service]*DirectService, len(services)),
		customers: credentials,
	}
	for i := range routes {
		route := &routes[i]
		table.routes[route.Host] = append(table.routes[route.Host], route)
	}
	for _, list := range table.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range services {
		table.services[services[i].Name] = &services[i]
	}
	names := map[ident.Customer]struct{}{}
	for _, access := range credentials {
		names[access.Customer] = struct{}{}
	}
	table.customerN = len(names)
	return table
}

// Route returns the route of the host, which may carry a port, with the longest prefix
// that begins the path; nil if there is none.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the name; nil if there is none.
func (t *Table) Service(name ident.Service) *DirectService {
	return t.services[name]
}

// Access returns what the credential stands for.
func (t *Table) Access(credential string) (CustomerAccess, bool) {
	access, ok := t.customers[credential]
	return access, ok
}

// Customers returns the number of customers.
func (t *Table) Customers() int {
	return t.customerN
}
