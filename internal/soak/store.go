package soak

import (
	"net"
	"net/http"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// serveStore serves the stand-in of the platform's key-value store on loopback and returns its address.
func serveStore(store *standin.Store) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
