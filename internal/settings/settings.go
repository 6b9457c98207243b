// Package settings reads and validates the settings of one process, a JSON file.
package settings

import (
	_ "embed" // for the schema
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

//go:embed schema.json
var schemaText []byte

// Schema is the JSON schema of the settings.
var Schema = schema.New("settings.schema.json", schemaText)

// Settings are the settings of an entry or an agent process.
type Settings struct {
	// VM is the name of the VM in the platform's list of VMs. The certificate must have the same name.
	VM ident.VM `json:"vm" jsonschema:"minLength=1"`
	// Zone is the availability zone of the VM.
	Zone ident.Zone `json:"zone" jsonschema:"minLength=1"`
	// Region is the region of the availability zone.
	Region ident.Region `json:"region" jsonschema:"minLength=1"`
	// Peer is the UDP interface to other processes of the system.
	Peer Peer `json:"peer"`
	// Keys are the files with the process's certificate and private key.
	Keys Keys `json:"keys"`
	// Platform holds the URLs of the services of the platform on which the VMs run.
	Platform Platform `json:"platform"`
	// Callers is the interface for callers. Entry processes require it.
	Callers *Callers `json:"callers,omitempty"`
	// Backend is the backend server of an agent. Agent processes require it.
	Backend *Backend `json:"backend,omitempty"`
	// Admin is the HTTP interface for operators.
	Admin Admin `json:"admin"`
	// Shutdown holds the timing of a planned stop.
	Shutdown Shutdown `json:"shutdown,omitzero"`
	// Log configures the log.
	Log Log `json:"log,omitzero"`
}

// Peer configures the process's own UDP interface to other processes of the system, and the processes that it asks for the
// configuration.
type Peer struct {
	// Address is the IP address and UDP port to listen on.
	Address string `json:"address"`
	// Seeds are other processes from which the process requests the configuration in force until it has one.
	Seeds []Seed `json:"seeds,omitempty"`
	// MaxMessageBytes is the maximum size of a received message, in bytes. Default: 2097152.
	MaxMessageBytes int `json:"max_message_bytes,omitempty" jsonschema:"minimum=0"`
}

// Seed is another process of the system that can supply the configuration.
type Seed struct {
	// VM is the name of the process's VM.
	VM ident.VM `json:"vm" jsonschema:"minLength=1"`
	// Zone is the availability zone of the VM.
	Zone ident.Zone `json:"zone" jsonschema:"minLength=1"`
	// Address is the IP address and UDP port on which the process listens for other processes.
	Address string `json:"address"`
}

// Keys are the files with the process's certificate and private key. They are reloaded when they change.
type Keys struct {
	// Certificate is the PEM file with the certificate of the VM.
	Certificate string `json:"certificate"`
	// PrivateKey is the PEM file with the certificate's private key.
	PrivateKey string `json:"private_key"`
	// Authority is the PEM file with the certificates of the authorities that sign the fleet's certificates.
	Authority string `json:"authority"`
}

// Platform holds the URLs of the services of the platform on which the VMs run: the configuration service, the list of VMs
// and the weight store.
type Platform struct {
	// Configuration is the base URL of the configuration service.
	Configuration string `json:"configuration"`
	// ConfigurationLayout is "value" if the key bramleyspool of the configuration service holds the whole
	// configuration, and "parts" if it holds a manifest that lists the keys of the parts. Default: value.
	ConfigurationLayout string `json:"configuration_layout,omitempty" jsonschema:"enum=value,enum=parts"`
	// VMs is the base URL of the service that lists the running and the leaving VMs.
	VMs string `json:"vms"`
	// WeightStore is the base URL of the weight store. Agents of model engines require it.
	WeightStore string `json:"weight_store,omitempty"`
}

// Callers is the interface for callers.
type Callers struct {
	// Address is the IP address and TCP port to listen on.
	Address string `json:"address"`
	// MaxHeaderBytes is the maximum size of a request's header, in bytes. Default: 16384.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty" jsonschema:"minimum=0"`
	// MaxBodyBytes is the maximum size of a request's body, in bytes. Default: 1048576.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" jsonschema:"minimum=0"`
	// ReadTimeoutMS is the timeout for reading a request, in milliseconds. Default: 10000.
	ReadTimeoutMS int `json:"read_timeout_ms,omitempty" jsonschema:"minimum=0"`
	// WriteTimeoutMS is the timeout of each write to a caller, in milliseconds. Default: 10000.
	WriteTimeoutMS int `json:"write_timeout_ms,omitempty" jsonschema:"minimum=0"`
	// MaxOpenCalls is the maximum number of calls open at the same time. Default: 4096.
	MaxOpenCalls int `json:"max_open_calls,omitempty" jsonschema:"minimum=0"`
	// MaxMemoryBytes is the memory that the process may use, in bytes. Half of it is for the bodies of requests and for answers; it also
	// bounds the heads of requests and the number of connections. A call that finds no room is refused. Default: 1073741824.
	MaxMemoryBytes int64 `json:"max_memory_bytes,omitempty" jsonschema:"minimum=0"`
}

// Backend is the backend server of an agent.
type Backend struct {
	// Kind is "model" for a model engine and "plain" for another HTTP service.
	Kind template.Kind `json:"kind" jsonschema:"enum=model,enum=plain"`
	// URL is the base URL of the model engine or plain service.
	URL string `json:"url"`
	// HealthPath is the path of the health check. Any HTTP response means that the backend server is running, whatever its
	// status. Default: /healthz.
	HealthPath string `json:"health_path,omitempty"`
	// CredentialFile is a file with the bearer credential that the agent sends to the backend server with each request and
	// order. It is needed if the backend server authenticates agents. An order is a command to a model engine, such as
	// loading experts. Default: none.
	CredentialFile string `json:"credential_file,omitempty"`
	// MaxAnswerBytes is the maximum size of a response that is kept so that the caller can resume it, in bytes.
	// Default: 8388608.
	MaxAnswerBytes int `json:"max_answer_bytes,omitempty" jsonschema:"minimum=0"`
	// MaxMemoryBytes is the memory that the process may use, in bytes. Two fifths of it are for requests and answers. A request that finds no
	// room is refused, and answers that have been sent are dropped for others. Default: 1073741824.
	MaxMemoryBytes int64 `json:"max_memory_bytes,omitempty" jsonschema:"minimum=0"`
	// CallTimeoutMS is the timeout of one call to the backend server, in milliseconds. Default: 600000.
	CallTimeoutMS int `json:"call_timeout_ms,omitempty" jsonschema:"minimum=0"`
	// OrderLifetimeMS is the time after which an order without a known result can no longer take effect, in milliseconds.
	// A new agent waits that long before its first order. It applies only to engines that ignore the fencing number of an
	// order, by which other engines refuse outdated orders.
	// Default: 120000.
	OrderLifetimeMS int `json:"order_lifetime_ms,omitempty" jsonschema:"minimum=0"`
}

// Admin is the HTTP interface for operators.
type Admin struct {
	// Address is the IP address and TCP port to listen on.
	Address string `json:"address"`
	// CredentialSHA256 is the SHA-256 of the operators' bearer credential, in hexadecimal.
	CredentialSHA256 string `json:"credential_sha256" jsonschema:"pattern=^[0-9a-fA-F]{64}$"`
}

// Shutdown holds the timing of a planned stop.
type Shutdown struct {
	// BalancerLagMS is how long the platform's balancer can still send new calls after the process has reported that it is
	// not ready, in milliseconds. Default: 5000.
	BalancerLagMS int `json:"balancer_lag_ms,omitempty" jsonschema:"minimum=0"`
}

// Log configures the log.
type Log struct {
	// Level is the minimum level of logged lines: error, warning, info or debug. Default: info.
	Level string `json:"level,omitempty"`
}

// Default values of the settings, in the units of the fields with the same names.
const (
	DefaultMaxMessageBytes = 2 << 20
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultMaxBodyBytes    = 1 << 20
	DefaultReadTimeoutMS   = 10_000
	DefaultWriteTimeoutMS  = 10_000
	DefaultMaxOpenCalls    = 4096
	DefaultMaxMemoryBytes  = 1 << 30
	DefaultMaxAnswerBytes  = 8 << 20
	DefaultCallTimeoutMS   = 600_000
	DefaultOrderLifetimeMS = 120_000
	DefaultBalancerLagMS   = 5_000
	DefaultLogLevel        = "info"
	DefaultHealthPath      = "/healthz"
)

// The values of Platform.ConfigurationLayout.
const (
	LayoutValue = "value"
	LayoutParts = "parts"
)

// Role says whether a process is an entry or an agent.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Load reads the settings of a role from a file. The error is a fault.List if the file could be read.
func Load(file string, role Role) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, faults := Parse(data, role)
	return settings, faults.Err()
}

// Parse decodes the settings of a role, sets absent fields to their defaults and returns all faults.
func Parse(data []byte, role Role) (*Settings, fault.List) {
	var settings Settings
	if faults := Schema.Decode(data, &settings); len(faults) > 0 {
		return nil, faults
	}
	settings.FillDefaults()
	if faults := settings.check(role); len(faults) > 0 {
		return nil, faults
	}
	return &settings, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// MaxMemoryBytes returns the memory that the process may use, in bytes.
func (s *Settings) MaxMemoryBytes() int64 {
	switch {
	case s.Callers != nil:
		return s.Callers.MaxMemoryBytes
	case s.Backend != nil:
		return s.Backend.MaxMemoryBytes
	}
	return DefaultMaxMemoryBytes
}

// FillDefaults sets fields that have their zero value to their defaults.
func (s *Settings) FillDefaults() {
	setDefault(&s.Peer.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&s.Shutdown.BalancerLagMS, DefaultBalancerLagMS)
	setDefault(&s.Log.Level, DefaultLogLevel)
	setDefault(&s.Platform.ConfigurationLayout, LayoutValue)
	if s.Callers != nil {
		setDefault(&s.Callers.MaxHeaderBytes, DefaultMaxHeaderBytes)
		setDefault(&s.Callers.MaxBodyBytes, DefaultMaxBodyBytes)
		setDefault(&s.Callers.ReadTimeoutMS, DefaultReadTimeoutMS)
		setDefault(&s.Callers.WriteTimeoutMS, DefaultWriteTimeoutMS)
		setDefault(&s.Callers.MaxOpenCalls, DefaultMaxOpenCalls)
		setDefault(&s.Callers.MaxMemoryBytes, DefaultMaxMemoryBytes)
	}
	if s.Backend != nil {
		setDefault(&s.Backend.MaxAnswerBytes, DefaultMaxAnswerBytes)
		setDefault(&s.Backend.MaxMemoryBytes, DefaultMaxMemoryBytes)
		setDefault(&s.Backend.HealthPath, DefaultHealthPath)
		setDefault(&s.Backend.CallTimeoutMS, DefaultCallTimeoutMS)
		setDefault(&s.Backend.OrderLifetimeMS, DefaultOrderLifetimeMS)
	}
}

func (s *Settings) check(role Role) fault.List {
	faults := &fault.Collector{}
	checkAddress(faults, "/peer/address", s.Peer.Address)
	for i, seed := range s.Peer.Seeds {
		checkAddress(faults, fmt.Sprintf("/peer/seeds/%d/address", i), seed.Address)
	}
	checkAddress(faults, "/admin/address", s.Admin.Address)
	checkURL(faults, "/platform/configuration", s.Platform.Configuration)
	checkURL(faults, "/platform/vms", s.Platform.VMs)
	if s.Platform.WeightStore != "" {
		checkURL(faults, "/platform/weight_store", s.Platform.WeightStore)
	}
	checkFile(faults, "/keys/certificate", s.Keys.Certificate)
	checkFile(faults, "/keys/private_key", s.Keys.PrivateKey)
	checkFile(faults, "/keys/authority", s.Keys.Authority)
	_, err := logrus.ParseLevel(s.Log.Level)
	faults.Check(err == nil, "/log/level", "error, warning, info or debug", s.Log.Level)
	switch role {
	case RoleEntry:
		faults.Check(s.Callers != nil, "/callers", "the settings of the interface for callers, which an entry requires", "nothing")
	case RoleAgent:
		faults.Check(s.Backend != nil, "/backend", "the settings of the backend server, which an agent requires", "nothing")
	}
	if s.Callers != nil {
		checkAddress(faults, "/callers/address", s.Callers.Address)
	}
	if s.Backend != nil {
		checkURL(faults, "/backend/url", s.Backend.URL)
		faults.Check(strings.HasPrefix(s.Backend.HealthPath, "/"), "/backend/health_path", "a path that starts with /", s.Backend.HealthPath)
		if s.Backend.CredentialFile != "" {
			checkFile(faults, "/backend/credential_file", s.Backend.CredentialFile)
		}
	}
	return faults.Faults()
}

func checkAddress(faults *fault.Collector, path, address string) {
	_, err := netip.ParseAddrPort(address)
	faults.Check(err == nil, path, "an IP address and a port", address)
}

func checkURL(faults *fault.Collector, path, text string) {
	parsed, err := url.Parse(text)
	valid := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
	faults.Check(valid, path, "an http or https URL", text)
}

func checkFile(faults *fault.Collector, path, file string) {
	info, err := os.Stat(file)
	faults.Check(err == nil && !info.IsDir(), path, "a readable file", file)
}

// BalancerLag returns Shutdown.BalancerLagMS as a duration.
func (s *Settings) BalancerLag() time.Duration {
	return time.Duration(s.Shutdown.BalancerLagMS) * time.Millisecond
}
