package standin_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

func TestServeOnLoopback(t *testing.T) {
	c := qt.New(t)
	config := standin.NewConfigService(standin.ConfigOptions{})
	server, err := standin.Serve(config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(server.Close(), qt.IsNil) })
	client := platform.NewConfigClient(platform.Options{BaseURL: server.URL}, 0)
	first := config.Set("templates", []byte("one"))
	value, err := client.Read(context.Background(), "templates")
	c.Assert(err, qt.IsNil)
	c.Assert(value, qt.DeepEquals, platform.Value{Revision: first, Data: []byte("one")})
}
