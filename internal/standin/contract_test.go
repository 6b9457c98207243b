package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// serve serves a stand-in for the length of a test and returns its base URL.
func serve(c *qt.C, handler http.Handler) string {
	server, err := standin.Serve(handler)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(server.Close(), qt.IsNil) })
	return server.URL
}

// completion returns the body of a model call.
func completion(c *qt.C, prompt string, maxTokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	c.Assert(err, qt.IsNil)
	return body
}

// readAll reads a stream to its end.
func readAll(stream platform.Stream) (string, error) {
	text := ""
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
}

func newEngine(c *qt.C, options standin.EngineOptions) (*standin.Engine, *platform.EngineClient) {
	engine := standin.NewEngine(options)
	c.Cleanup(engine.Close)
	client := platform.NewEngineClient(platform.Options{BaseURL: serve(c, engine)})
	c.Cleanup(client.CloseIdle)
	return engine, client
}

func TestEngineAnswersWholeAndStreamed(t *testing.T) {
	c := qt.New(t)
	engine, client := newEngine(c, standin.EngineOptions{})
	ctx := context.Background()
	whole, err := client.Call(ctx, platform.EngineRequest{ID: "r1", Body: completion(c, "dear employer", 5, false)})
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Text, qt.Equals, standin.Answer("m", "dear employer", 5))
	c.Assert(whole.Usage.CompletionTokens, qt.Equals, 5)
	stream, err := client.Stream(ctx, platform.EngineRequest{ID: "r2", Body: completion(c, "dear centre", 7, true)})
	c.Assert(err, qt.IsNil)
	text, err := readAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, standin.Answer("m", "dear centre", 7))
	resumed, err := client.Resume(ctx, "r2", 3)
	c.Assert(err, qt.IsNil)
	rest, err := readAll(resumed)
	c.Assert(err, qt.IsNil)
	c.Assert(text[len(text)-len(rest):], qt.Equals, rest)
	c.Assert(standin.RunsOfRequest(engine.Runs(), ident.Request("r2")), qt.Equals, 1)
	load, err := client.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(load.Running, qt.Equals, 0)
}

func TestPlainServiceAnswers(t *testing.T) {
	c := qt.New(t)
	service := standin.NewPlain(standin.PlainOptions{})
	client := platform.NewPlainClient(platform.Options{BaseURL: serve(c, service)})
	body := []byte(`{"voucher":"v1"}`)
	answer, err := client.Call(context.Background(), platform.PlainRequest{
		ID: "r1", Key: "k1", Method: http.MethodPost, Path: "/redemptions?x=1", Body: body,
	})
	c.Assert(err, qt.IsNil)
	result, err := standin.ParseResult(answer.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Result, qt.Equals, standin.Result("POST /redemptions?x=1", body))
	c.Assert(standin.RunsOfKey(service.Runs(), "k1", nil), qt.Equals, 1)
}

func TestConfigIsReadAndWatched(t *testing.T) {
	c := qt.New(t)
	config := standin.NewConfig(standin.ConfigOptions{})
	client := platform.NewConfigClient(platform.Options{BaseURL: serve(c, config)}, 0)
	ctx := context.Background()
	_, err := client.Read(ctx, "templates")
	c.Assert(platform.KindOf(err), qt.Equals, platform.KindRefused)
	first := config.Set("templates", []byte("one"))
	value, err := client.Read(ctx, "templates")
	c.Assert(err, qt.IsNil)
	c.Assert(value, qt.DeepEquals, platform.Value{Revision: first, Data: []byte("one")})
	go config.Set("templates", []byte("two"))
	value, err = client.Watch(ctx, "templates", first)
	c.Assert(err, qt.IsNil)
	c.Assert(string(value.Data), qt.Equals, "two")
}

func TestVMListIsRead(t *testing.T) {
	c := qt.New(t)
	vms := standin.NewVMs(0, "vm-b", "vm-a")
	vms.Set("vm-b", platform.VMLeaving)
	client := platform.NewVMListClient(platform.Options{BaseURL: serve(c, vms)})
	list, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.DeepEquals, []platform.VMStatus{{VM: "vm-a", State: platform.VMLive}, {VM: "vm-b", State: platform.VMLeaving}})
}
