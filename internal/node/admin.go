package node

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	_ "embed" // for openapi.json
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/template"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

//go:embed openapi.json
var openAPI []byte

const (
	// adminTimeout bounds the reading of a request's header and the wait for the control thread.
	adminTimeout = 5 * time.Second
	// maxDryRunBytes limits how much of a dry run's body is read. It is one byte more than the maximum size of a
	// document, so that a larger document is rejected and not cut to a valid size.
	maxDryRunBytes = template.MaxDocumentBytes + 1
)

// Inspector returns the control state for operators. It is called on the control thread only.
type Inspector interface {
	ConfigStatus() membership.ConfigStatus
	// State returns the state of the process in charts/process.json, such as "serving" or "draining".
	State() string
}

// EntryInspector is implemented by the Inspector of an entry.
type EntryInspector interface {
	// Account returns the overload account: the numbers of calls by customer, class and cause since the process
	// started.
	Account() []admission.AccountEntry
	Backends() []membership.BackendView
	OpenCalls() int
}

// AgentInspector is implemented by the Inspector of an agent.
type AgentInspector interface {
	Status() control.BackendStatus
}

// GroupInspector is implemented by the Inspector of an agent.
type GroupInspector interface {
	// Group returns nil if the agent's backend server is in no model group.
	Group() *control.GroupStatus
}

// Status is the JSON body of GET /v1/status.
type Status struct {
	Self ident.Instance `json:"self"`
	// State is the state of the process in charts/process.json.
	State         string                  `json:"state"`
	Ready         bool                    `json:"ready"`
	Configuration membership.ConfigStatus `json:"configuration"`
	// Loop holds the counters of the control thread.
	Loop      LoopStats              `json:"control"`
	Traffic   wire.Traffic           `json:"traffic"`
	OpenCalls int                    `json:"open_calls"`
	Backend   *control.BackendStatus `json:"backend,omitempty"`
}

// DryRunResult is the JSON body of the answer to a dry run of a configuration.
type DryRunResult struct {
	Accepted bool             `json:"accepted"`
	Version  template.Version `json:"version,omitempty"`
	// Newer is true if the version is greater than that of the configuration in force at this
	// process.
	Newer  bool       `json:"newer"`
	Faults fault.List `json:"faults,omitempty"`
}

// Admin is the HTTP interface of a process for operators. It is read-only.
type Admin struct {
	host    *Host
	inspect func() Inspector
	// credential is the SHA-256 digest of the operators' credential.
	credential [sha256.Size]byte
	listener   net.Listener
}

// NewAdmin returns an interface that listens at address. Serve starts to serve it.
// credentialSHA256 is the hexadecimal SHA-256 digest of the operators' credential.
func NewAdmin(host *Host, address, credentialSHA256 string) (*Admin, error) {
	listener, err := host.config.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	a := &Admin{host: host, listener: listener}
	raw, err := hex.DecodeString(credentialSHA256)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	copy(a.credential[:], raw)
	return a, nil
}

// Address returns the IP address and TCP port that the interface listens on.
func (a *Admin) Address() string {
	return a.listener.Addr().String()
}

// Serve serves operators' requests until the context ends. It calls inspect on the control thread
// only.
func (a *Admin) Serve(ctx context.Context, inspect func() Inspector) {
	a.inspect = inspect
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(a.listener)
}

func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.Handle("GET /metrics", a.host.config.Metrics.Handler)
	mux.HandleFunc("GET /openapi.json", serveOpenAPI)
	mux.HandleFunc("GET /v1/status", a.requireCredential(a.serveStatus))
	mux.HandleFunc("GET /v1/account", a.requireCredential(a.serveAccount))
	mux.HandleFunc("GET /v1/backends", a.requireCredential(a.serveBackends))
	mux.HandleFunc("GET /v1/group", a.requireCredential(a.serveGroup))
	mux.HandleFunc("GET /v1/timeline", a.requireCredential(a.serveTimeline))
	mux.HandleFunc("POST /v1/configuration/dry-run", a.requireCredential(a.serveDryRun))
	return mux
}

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(openAPI)
}

// requireCredential wraps a handler to reject requests without the operators' credential.
func (a *Admin) requireCredential(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(credential))
		if subtle.ConstantTimeCompare(digest[:], a.credential[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the operators' credential is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.host.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// respond runs collect on the control thread and writes its result as JSON. A nil result is
// answered with status 404.
func (a *Admin) respond(w http.ResponseWriter, r *http.Request, collect func() any) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	var result any
	if !a.host.Inspect(ctx, func() { result = collect() }) {
		http.Error(w, "the control thread did not answer in time", http.StatusServiceUnavailable)
		return
	}
	if result == nil {
		http.Error(w, "this process has none", http.StatusNotFound)
		return
	}
	writeJSON(w, result)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

func (a *Admin) serveStatus(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func() any { return a.status() })
}

func (a *Admin) status() Status {
	status := Status{
		Self:          a.host.config.Self,
		State:         a.inspect().State(),
		Ready:         a.host.Ready(),
		Configuration: a.inspect().ConfigStatus(),
		Loop:          a.host.LoopStats(),
		Traffic:       a.host.Transport().Traffic(),
	}
	if entry, ok := a.inspect().(EntryInspector); ok {
		status.OpenCalls = entry.OpenCalls()
	}
	if agent, ok := a.inspect().(AgentInspector); ok {
		backend := agent.Status()
		status.Backend = &backend
	}
	return status
}

func (a *Admin) serveAccount(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func() any {
		if entry, ok := a.inspect().(EntryInspector); ok {
			return entry.Account()
		}
		return nil
	})
}

func (a *Admin) serveBackends(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func() any {
		if entry, ok := a.inspect().(EntryInspector); ok {
			return entry.Backends()
		}
		return nil
	})
}

func (a *Admin) serveGroup(w http.ResponseWriter, r *http.Request) {
	a.respond(w, r, func() any {
		agent, ok := a.inspect().(GroupInspector)
		if !ok {
			return nil
		}
		if group := agent.Group(); group != nil {
			return group
		}
		return nil
	})
}

func (a *Admin) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := timeline.Filter{
		Request:  ident.Request(query.Get("request")),
		Customer: ident.Customer(query.Get("customer")),
		Group:    ident.Group(query.Get("group")),
		VM:       ident.VM(query.Get("vm")),
	}
	for name, bound := range map[string]*time.Time{"from": &filter.From, "to": &filter.To} {
		if text := query.Get(name); text != "" {
			parsed, err := time.Parse(time.RFC3339, text)
			if err != nil {
				http.Error(w, name+" must be a time in RFC 3339 form", http.StatusBadRequest)
				return
			}
			*bound = parsed
		}
	}
	writeJSON(w, filter.Apply(a.host.events.Events()))
}

// serveDryRun reports whether a configuration would be accepted. It does not apply it.
func (a *Admin) serveDryRun(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDryRunBytes))
	if err != nil {
		http.Error(w, "the body could not be read", http.StatusBadRequest)
		return
	}
	configuration, faults := published.Accept(data)
	a.respond(w, r, func() any {
		result := DryRunResult{Accepted: len(faults) == 0, Faults: faults}
		if configuration != nil {
			result.Version = configuration.Version
			result.Newer = configuration.Version > a.inspect().ConfigStatus().InForce.Version
		}
		return result
	})
}
