package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate settings and configuration files without starting a process",
		Description: "Lists all faults of all files: the file, the JSON pointer of the field, the expected and the found value.\n" +
			exitHelp,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "file with the settings of an entry"},
			&cli.StringSliceFlag{Name: "agent", Usage: "file with the settings of an agent"},
			&cli.StringSliceFlag{Name: "configuration", Usage: "file with a configuration: templates, customers and fleet"},
			&cli.StringFlag{Name: "schema", Usage: "print a JSON schema instead: settings or configuration"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if name := command.String("schema"); name != "" {
				return printSchema(out, name)
			}
			return checkFiles(out, command)
		},
	}
}

func printSchema(out io.Writer, name string) error {
	switch name {
	case "settings":
		_, err := out.Write(settings.Schema.Text())
		return err
	case "configuration":
		_, err := out.Write(published.Schema.Text())
		return err
	default:
		return usageError{fmt.Errorf("check: expected the schema settings or configuration, found %q", name)}
	}
}

func checkFiles(out io.Writer, command *cli.Command) error {
	checks := []struct {
		flag  string
		check func(data []byte) fault.List
	}{
		{"entry", func(data []byte) fault.List { return checkSettings(data, settings.RoleEntry) }},
		{"agent", func(data []byte) fault.List { return checkSettings(data, settings.RoleAgent) }},
		{"configuration", checkConfiguration},
	}
	var all fault.List
	checked := 0
	for _, kind := range checks {
		for _, file := range command.StringSlice(kind.flag) {
			checked++
			data, err := os.ReadFile(file)
			if err != nil {
				all = append(all, fault.Fault{Path: file, Expected: "a readable file", Found: err.Error()})
				continue
			}
			for _, found := range kind.check(data) {
				found.Path = file + ": " + found.Path
				all = append(all, found)
			}
		}
	}
	if checked == 0 {
		return usageError{errors.New("check: expected a file to check, found none")}
	}
	if len(all) > 0 {
		return fmt.Errorf("%d faults\n%w", len(all), all)
	}
	fmt.Fprintf(out, "%d files without faults\n", checked)
	return nil
}

func checkSettings(data []byte, role settings.Role) fault.List {
	_, faults := settings.Parse(data, role)
	return faults
}

func checkConfiguration(data []byte) fault.List {
	_, faults := published.Accept(data)
	return faults
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
