package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	operatorTimeout = 5 * time.Second
	defaultValidity = 30 * 24 * time.Hour
)

var operatorFlags = []cli.Flag{
	&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "IP address and port of a process's interface for operators; can be repeated"},
	&cli.StringFlag{Name: "credential", Required: true, Sources: cli.EnvVars("BRAMLEYSPOOL_CREDENTIAL"), Usage: "bearer credential of operators"},
}

// operatorClient is an HTTP client for the operators' interface of one process.
type operatorClient struct {
	base   *sling.Sling
	client *http.Client
}

func newOperatorClient(address, credential string) *operatorClient {
	base := sling.New().Base("http://"+address).Set("Authorization", "Bearer "+credential)
	return &operatorClient{base: base, client: &http.Client{Timeout: operatorTimeout}}
}

// get sends a GET request and decodes the JSON body of the response into answer.
func (c *operatorClient) get(ctx context.Context, path string, query, answer any) error {
	request, err := c.base.New().Get(path).QueryStruct(query).Request()
	if err != nil {
		return err
	}
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// processAnswer is the answer of one process, or the error.
type processAnswer struct {
	Admin  string          `json:"admin"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Error  string          `json:"error,omitempty"`
}

var errNoAnswer = errors.New("some processes did not answer")

func statusCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of processes",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "view", Value: "status", Usage: "status: state, configuration and traffic; account: an entry's request counts by customer, class and outcome; backends: the backend servers as an entry sees them; group: the model group of an agent"},
		}, operatorFlags...),
		Action: func(ctx context.Context, command *cli.Command) error {
			view := command.String("view")
			switch view {
			case "status", "account", "backends", "group":
			default:
				return usageError{fmt.Errorf("status: expected the view status, account, backends or group, found %q", view)}
			}
			views, err := queryAll(ctx, command, "/v1/"+view)
			if printErr := printJSON(out, views); printErr != nil {
				return printErr
			}
			return err
		},
	}
}

func queryAll(ctx context.Context, command *cli.Command, path string) ([]processAnswer, error) {
	var views []processAnswer
	var failed error
	for _, address := range command.StringSlice("admin") {
		view := processAnswer{Admin: address}
		client := newOperatorClient(address, command.String("credential"))
		if err := client.get(ctx, path, nil, &view.Answer); err != nil {
			view.Error = err.Error()
			failed = errNoAnswer
		}
		views = append(views, view)
	}
	return views, failed
}

// timelineQuery holds the query parameters of /v1/timeline.
type timelineQuery struct {
	Request  string `url:"request,omitempty"`
	Customer string `url:"customer,omitempty"`
	Group    string `url:"group,omitempty"`
	VM       string `url:"vm,omitempty"`
	From     string `url:"from,omitempty"`
	To       string `url:"to,omitempty"`
}

func timelineCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the merged events of several processes, causes before effects",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "customer", Usage: "only events of this customer"},
			&cli.StringFlag{Name: "group", Usage: "only events of this model group"},
			&cli.StringFlag{Name: "vm", Usage: "only events of or about this VM"},
			&cli.StringFlag{Name: "from", Usage: "earliest time, RFC 3339"},
			&cli.StringFlag{Name: "to", Usage: "latest time, exclusive, RFC 3339"},
		}, operatorFlags...),
		Action: func(ctx context.Context, command *cli.Command) error {
			return printTimeline(ctx, out, command)
		},
	}
}

func printTimeline(ctx context.Context, out io.Writer, command *cli.Command) error {
	query := timelineQuery{
		Request: command.String("request"), Customer: command.String("customer"), Group: command.String("group"),
		VM: command.String("vm"), From: command.String("from"), To: command.String("to"),
	}
	var lists [][]timeline.Event
	var failed error
	for _, address := range command.StringSlice("admin") {
		var events []timeline.Event
		client := newOperatorClient(address, command.String("credential"))
		if err := client.get(ctx, "/v1/timeline", query, &events); err != nil {
			failed = errNoAnswer
			// The process's VM is unknown, so the event has the admin address in its place.
			stamp := timeline.Stamp{Wall: time.Now().UnixMilli()}
			events = []timeline.Event{timeline.Unreachable(stamp, ident.VM(address), err.Error())}
		}
		lists = append(lists, events)
	}
	if err := timeline.WriteText(out, timeline.Merge(lists...)); err != nil {
		return err
	}
	return failed
}

func keysCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create a certificate authority and the key pairs of VMs, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "directory for the PEM files"},
			&cli.StringSliceFlag{Name: "vm", Required: true, Usage: "ROLE/ZONE/VM, such as entry/dakar-a/entry-1; can be repeated"},
			&cli.DurationFlag{Name: "validity", Value: defaultValidity, Usage: "validity period of the certificates"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			return makeKeys(out, command.String("out"), command.StringSlice("vm"), command.Duration("validity"))
		},
	}
}

func makeKeys(out io.Writer, directory string, vms []string, validity time.Duration) error {
	now := time.Now()
	authority, err := wire.NewAuthority(now, validity)
	if err != nil {
		return err
	}
	for _, name := range vms {
		parts := strings.Split(name, "/")
		if len(parts) != 3 {
			return usageError{fmt.Errorf("keys: expected ROLE/ZONE/VM, found %q", name)}
		}
		identity := wire.Identity{Role: parts[0], Zone: ident.Zone(parts[1]), VM: ident.VM(parts[2])}
		pair, err := authority.Issue(identity, now, validity)
		if err != nil {
			return err
		}
		if err := wire.SaveKeyPair(directory, string(identity.VM), pair); err != nil {
			return err
		}
		fmt.Fprintln(out, filepath.Join(directory, string(identity.VM)+".pem"))
	}
	return nil
}
