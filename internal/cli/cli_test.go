package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/examples"
	"github.com/bramleyspool/bramleyspool/internal/cli"
)

func run(args ...string) (code int, out, errOut string) {
	var standard, errors strings.Builder
	code = cli.Run(append([]string{"bramleyspool"}, args...), &standard, &errors)
	return code, standard.String(), errors.String()
}

func exampleFile(t *testing.T, change func(text string) string) string {
	data, err := examples.Files.ReadFile("ndiaye/configuration.json")
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "configuration.json")
	qt.Assert(t, os.WriteFile(file, []byte(change(string(data))), 0o600), qt.IsNil)
	return file
}

// Scripts distinguish a failed command, an invalid command line and invalid files by the exit code.
func TestExitCodes(t *testing.T) {
	good := exampleFile(t, func(text string) string { return text })
	bad := exampleFile(t, func(text string) string {
		text = strings.Replace(text, `"capacity": 8`, `"capacity": 0`, 1)
		return strings.Replace(text, `"deadline_ms": 800`, `"deadline_ms": -1`, 1)
	})
	cases := []struct {
		name     string
		args     []string
		code     int
		contains []string
	}{
		{"good configuration", []string{"check", "--configuration", good}, cli.ExitOK, []string{"1 files without faults"}},
		{"all faults at once", []string{"check", "--configuration", bad}, cli.ExitFaults, []string{
			bad + ": /fleet/services/0/backends/0/capacity: expected a number greater than 0, found 0",
			"deadline_ms greater than 0, found -1",
		}},
		{"no such file", []string{"check", "--entry", "absent.json"}, cli.ExitFaults, []string{"absent.json: expected a readable file"}},
		{"nothing to check", []string{"check"}, cli.ExitUsage, []string{"expected a file to check, found none"}},
		{"unknown schema", []string{"check", "--schema", "weather"}, cli.ExitUsage, []string{`found "weather"`}},
		{"schema", []string{"check", "--schema", "settings"}, cli.ExitOK, []string{`"private_key"`}},
		{"unknown flag", []string{"check", "--colour"}, cli.ExitUsage, []string{"colour"}},
		{"unknown deployment", []string{"demo", "atlantis"}, cli.ExitFailed, []string{"atlantis"}},
		{"no deployment", []string{"demo"}, cli.ExitUsage, []string{"expected the name of a deployment"}},
		{"unknown experiment", []string{"experiment", "weather"}, cli.ExitUsage, []string{`found "weather"`}},
		{"wrong key name", []string{"keys", "--out", t.TempDir(), "--vm", "entry-1"}, cli.ExitUsage, []string{"expected ROLE/ZONE/VM"}},
		{"no process answers", []string{"status", "--admin", "127.0.0.1:1", "--credential", "x"}, cli.ExitFailed, []string{"some processes did not answer"}},
		{"version", []string{"version"}, cli.ExitOK, []string{cli.Version}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			code, out, errOut := run(tc.args...)
			c.Assert(code, qt.Equals, tc.code, qt.Commentf("%s%s", out, errOut))
			for _, part := range tc.contains {
				c.Assert(out+errOut, qt.Contains, part)
			}
		})
	}
}

// The files that the command example writes must pass the command check.
func TestExportedExamplePassesCheck(t *testing.T) {
	c := qt.New(t)
	directory := t.TempDir()
	code, _, errOut := run("example", "andina", "--out", directory)
	c.Assert(code, qt.Equals, cli.ExitOK, qt.Commentf("%s", errOut))
	code, out, errOut := run("check", "--entry", filepath.Join(directory, "entry-1.json"),
		"--agent", filepath.Join(directory, "portal-1.json"), "--configuration", filepath.Join(directory, "configuration.json"))
	c.Assert(code, qt.Equals, cli.ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Equals, "3 files without faults\n")
}
