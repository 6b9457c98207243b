package standin_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

func serveBench(b *testing.B, handler http.Handler) platform.Options {
	server, err := standin.Serve(handler)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { server.Close() })
	return platform.Options{BaseURL: server.URL}
}

func BenchmarkPlainCall(b *testing.B) {
	client := platform.NewPlainClient(serveBench(b, standin.NewPlain(standin.PlainOptions{})))
	defer client.CloseIdle()
	b.ReportAllocs()
	for b.Loop() {
		request := platform.PlainRequest{ID: "r", Method: http.MethodPost, Path: "/lookups", Body: []byte(`{"voucher":"v"}`)}
		if _, err := client.Call(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEngineCall(b *testing.B) {
	engine := standin.NewEngine(standin.EngineOptions{})
	b.Cleanup(engine.Close)
	client := platform.NewEngineClient(serveBench(b, engine))
	defer client.CloseIdle()
	body := completionBody("dear employer", 16, false)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		request := platform.EngineRequest{ID: ident.Request(strconv.Itoa(number)), Body: body}
		if _, err := client.Call(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEngineStream(b *testing.B) {
	engine := standin.NewEngine(standin.EngineOptions{})
	b.Cleanup(engine.Close)
	client := platform.NewEngineClient(serveBench(b, engine))
	defer client.CloseIdle()
	body := completionBody("dear employer", 64, true)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		stream, err := client.Stream(context.Background(), platform.EngineRequest{ID: ident.Request(strconv.Itoa(number)), Body: body})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAll(stream); err != nil {
			b.Fatal(err)
		}
	}
}
