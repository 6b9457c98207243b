package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RequestKind states how the requests of a route run and are answered. Route.Repeatable states whether they may run again.
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

// String returns the name of the kind in logs.
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

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the start of the route's paths and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Resumable streams may be continued at another backend server after their last complete event.
	Resumable bool
	// Timeout is the longest time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// EventGap is the longest pause between two events of a stream that is on time; 0 if none is set.
	EventGap time.Duration
	// MaxServers is the greatest number of backend servers that may run one request, one after another. Servers that
	// state that they did not run it are not counted.
	MaxServers int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes accept requests without a credential.
	Public bool
	// Shares are the services of the route with their positive weights.
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

// Choose returns the service for a uniformly distributed random number; "" if the route has no services.
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

// EngineModel predicts the speed of a model engine whose ranks run in lock-step.
type EngineModel struct {
	// Slots is the number of requests that a rank runs at a time.
	Slots int
	// Step is the duration of a step without requests.
	Step time.Duration
	// PerWriter is the time that each request that generates tokens adds to a step.
	PerWriter time.Duration
	// PerContextToken is the time that a token of context adds to a step.
	PerContextToken time.Duration
	// PromptRate is the number of prompt tokens that a rank processes per second.
	PromptRate float64
	// PromptChunk is the greatest number of prompt tokens that a rank processes in a step.
	PromptChunk int
	// StepsPerPass is the number of steps in a pass. At the end of a pass each stream sends an event.
	StepsPerPass int
	// CacheTokens is the capacity of a rank's KV cache in tokens.
	CacheTokens int
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers, in tokens.
	MeanPromptTokens, MeanAnswerTokens int
	// Experts describes the expert layers; Layers is 0 for an engine without experts.
	Experts ExpertLayers
}

// PromptRateFor returns the number of prompt tokens that a rank processes per second while it also generates tokens. It
// assumes that the rank processes PromptChunk tokens in only one of the steps of each pass.
func (e *EngineModel) PromptRateFor(pass time.Duration) float64 {
	if idle := e.Step * time.Duration(e.StepsPerPass); pass < idle {
		pass = idle
	}
	return float64(e.PromptChunk) / pass.Seconds()
}

// PromptTime returns the time to the first event of a request at a rank that processes no other prompt: the rest of the
// current pass, and a pass for each chunk of the prompt, the last of which ends with the event.
func (e *EngineModel) PromptTime(tokens int, pass time.Duration) time.Duration {
	pass = max(pass, e.Step*time.Duration(e.StepsPerPass))
	chunk := max(e.PromptChunk, 1)
	return pass/2 + pass*time.Duration(max((tokens+chunk-1)/chunk, 1))
}

// ExpertLayers describes the expert layers of an engine.
type ExpertLayers struct {
	// Layers is the number of expert layers, each with its own placement of experts.
	Layers int
	// Experts is the number of experts in a layer.
	Experts int
	// Slots is the number of experts that a rank holds in a layer.
	Slots int
	// NewPerLayer is the greatest number of experts in a layer that a rank can load for one new expert map.
	NewPerLayer int
	// Share is the fraction of the work per token that experts do.
	Share float64
	// LoadTime is the time that a rank takes to load one expert.
	LoadTime time.Duration
}

// LoadsWithin returns the number of experts that a rank loads within a time, at least one. Without a LoadTime it returns
// the number for a whole expert map.
func (l ExpertLayers) LoadsWithin(limit time.Duration) int {
	if l.LoadTime <= 0 {
		return l.Layers * l.NewPerLayer
	}
	return max(int(limit/l.LoadTime), 1)
}

// DirectService is a service to which entries send requests directly, without an agent.
type DirectService struct {
	Name ident.Service
	// HealthPath is the path to which a healthy backend server responds with status 200.
	HealthPath string
	// MaxConns is the greatest number of connections that one backend server accepts.
	MaxConns int
	// Engine is the model of the service's engine; nil for plain services.
	Engine *EngineModel
	// ColdTime is how long a backend server is cold after its start if its record does not say so, ColdRate the number of
	// requests per second that a cold one may get from all entries; 0 for no limit.
	ColdTime time.Duration
	ColdRate float64
}

// CallerLimits bounds what a caller may send. Sizes are in bytes.
type CallerLimits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// CustomerAccess holds the rights of a credential.
type CustomerAccess struct {
	Customer ident.Customer
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Table is one version of the routes, services and credentials. It is immutable.
type Table struct {
	Version uint64
	Limits  CallerLimits
	// CredentialsRequired is false if requests are accepted without a credential.
	CredentialsRequired bool

	routes             map[string][]*Route
	services           map[ident.Service]*DirectService
	accessByCredential map[string]CustomerAccess
	customerN          int
	// eventGaps has the shortest EventGap of the routes to each service that has one.
	eventGaps map[ident.Service]time.Duration
}

// NewTable returns a table of the routes, services and credentials. With nil credentials none is required.
func NewTable(version uint64, limits CallerLimits, routes []Route, services []DirectService, credentials map[string]CustomerAccess) *Table {
	table := &Table{
		Version: version, Limits: limits, CredentialsRequired: credentials != nil,
		routes:             map[string][]*Route{},
		services:           make(map[ident.Service]*DirectService, len(services)),
		accessByCredential: credentials,
		eventGaps:          map[ident.Service]time.Duration{},
	}
	for i := range routes {
		route := &routes[i]
		table.routes[route.Host] = append(table.routes[route.Host], route)
		table.addEventGap(route)
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

// Route returns the route of the host with the longest prefix of the path; nil if there is none. The host may include
// a port.
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

func (t *Table) addEventGap(route *Route) {
	for _, share := range route.Shares {
		if gap := t.eventGaps[share.Service]; route.EventGap > 0 && (gap == 0 || route.EventGap < gap) {
			t.eventGaps[share.Service] = route.EventGap
		}
	}
}

// EventGap returns the shortest pause between events that a route to the service allows for streams on time; 0 if none is set.
func (t *Table) EventGap(service ident.Service) time.Duration {
	return t.eventGaps[service]
}

// Access returns the rights of the credential; false if it is unknown.
func (t *Table) Access(credential string) (CustomerAccess, bool) {
	access, ok := t.accessByCredential[credential]
	return access, ok
}

// Customers returns the number of customers with credentials.
func (t *Table) Customers() int {
	return t.customerN
}
