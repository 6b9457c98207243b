package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/standin"
	"github.com/bramleyspool/bramleyspool/internal/template"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// Ports on loopback of an exported deployment. Callers, admin and backend ports are the first
// of a range with one port per process.
const (
	configurationPort = 9000
	vmListPort        = 9001
	weightsPort       = 9002
	callersPort       = 8080
	entryAdminPort    = 8001
	agentAdminPort    = 8300
	backendPort       = 8100

	directoryMode = 0o755
	fileMode      = 0o600
	// exportOpening is the time between the export and the opening of the services.
	exportOpening = 10 * time.Second
	weightsRate   = 1 << 30 // bytes per second
	weightsBurst  = 1 << 30 // bytes
)

// exporter writes the files of a deployment.
type exporter struct {
	directory string
	authority *wire.Authority
}

// Export writes the configuration of an example deployment, and settings and keys of each
// VM, into a directory. With them, each process can be started separately on loopback.
func Export(deployment, directory string) error {
	c := &cluster{}
	if err := c.readDocument(deployment); err != nil {
		return err
	}
	opening := time.Now().Add(exportOpening)
	for i := range c.document.Fleet.Services {
		c.document.Fleet.Services[i].OpenedAt = opening
	}
	authority, err := wire.NewAuthority(time.Now(), keyValidity)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	e := &exporter{directory: directory, authority: authority}
	if err := e.writeJSON("configuration.json", c.document); err != nil {
		return err
	}
	return e.writeVMs(&c.document)
}

func (e *exporter) writeVMs(document *published.Document) error {
	first := document.Fleet.Entries[0]
	seeds := []settings.Seed{{VM: first.VM, Zone: first.Zone, Address: first.Address}}
	for i, entry := range document.Fleet.Entries {
		s := e.settings(entry.VM, entry.Zone, entry.Region, entry.Address, entryAdminPort+i)
		s.Callers = &settings.Callers{Address: loopbackAddress(callersPort + i)}
		if i > 0 {
			s.Peer.Seeds = seeds
		}
		if err := e.writeVM(settings.RoleEntry, s); err != nil {
			return err
		}
	}
	number := 0
	for _, service := range document.Fleet.Services {
		for _, backend := range service.Backends {
			s := e.settings(backend.VM, backend.Zone, backend.Region, backend.Address, agentAdminPort+number)
			s.Backend = &settings.Backend{Kind: service.Kind, URL: "http://" + loopbackAddress(backendPort+number)}
			s.Peer.Seeds = seeds
			if err := e.writeVM(settings.RoleAgent, s); err != nil {
				return err
			}
			number++
		}
	}
	return nil
}

// loopbackAddress returns the address (IP:port) of a port on loopback.
func loopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (e *exporter) settings(vm ident.VM, zone ident.Zone, region ident.Region, peer string, adminPort int) *settings.Settings {
	digest := sha256.Sum256([]byte(operatorCredential))
	file := func(suffix string) string { return filepath.Join(e.directory, string(vm)+suffix) }
	return &settings.Settings{
		VM:     vm,
		Zone:   zone,
		Region: region,
		Peer:   settings.Peer{Address: peer},
		Keys:   settings.Keys{Certificate: file(".pem"), PrivateKey: file(".key"), Authority: filepath.Join(e.directory, "authority.pem")},
		Platform: settings.Platform{
			Configuration: "http://" + loopbackAddress(configurationPort),
			VMs:           "http://" + loopbackAddress(vmListPort),
			WeightStore:   "http://" + loopbackAddress(weightsPort),
		},
		Admin: settings.Admin{Address: loopbackAddress(adminPort), CredentialSHA256: hex.EncodeToString(digest[:])},
	}
}

func (e *exporter) writeVM(role settings.Role, s *settings.Settings) error {
	pair, err := e.authority.Issue(wire.Identity{Role: string(role), Zone: s.Zone, VM: s.VM}, time.Now(), keyValidity)
	if err != nil {
		return err
	}
	if err := wire.SaveKeyPair(e.directory, string(s.VM), pair); err != nil {
		return err
	}
	return e.writeJSON(string(s.VM)+".json", s)
}

func (e *exporter) writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(e.directory, name), append(data, '\n'), fileMode)
}

// ServeStandins serves the stand-ins of the platform and of the backend servers of an
// exported deployment on loopback until the context ends. It reads the configuration from
// the directory that Export has written.
func ServeStandins(ctx context.Context, directory string) error {
	data, err := os.ReadFile(filepath.Join(directory, "configuration.json"))
	if err != nil {
		return err
	}
	c := &cluster{}
	if err := json.Unmarshal(data, &c.document); err != nil {
		return err
	}
	config := standin.NewConfigService(standin.ConfigOptions{})
	config.Set(published.Key, data)
	handlers := map[int]http.Handler{
		configurationPort: config,
		vmListPort:        standin.NewVMs(vmListLag, c.allVMs()...),
		weightsPort:       standin.NewWeights(weightsRate, weightsBurst),
	}
	number := 0
	for _, service := range c.document.Fleet.Services {
		for range service.Backends {
			handlers[backendPort+number] = newBackend(service.Kind)
			number++
		}
	}
	return serveAll(ctx, handlers)
}

func newBackend(kind template.Kind) http.Handler {
	if kind == template.KindModel {
		return standin.NewEngine(standin.EngineOptions{StepDelay: stepDelay, BatchDelay: batchDelay, PrefillDelay: prefillDelay})
	}
	return standin.NewPlain(standin.PlainOptions{})
}

func serveAll(ctx context.Context, handlers map[int]http.Handler) error {
	failed := make(chan error, len(handlers))
	for port, handler := range handlers {
		server := &http.Server{Addr: loopbackAddress(port), Handler: handler, ReadHeaderTimeout: time.Second}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		go func() { failed <- server.ListenAndServe() }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}
