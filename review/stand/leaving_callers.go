//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Traffic of the case of leaving callers.
const (
	callers     = 50
	leaveAfter  = 5 * time.Millisecond
	replicaWork = 15 * time.Millisecond
)

// leavingCallers sends requests, of which each fifth caller leaves after half of the objective. It closes its connection in
// order: it ends its own direction first and reads until the entry has closed the other one.
func leavingCallers(out *record, trouble bool) (int, error) {
	replica := &plainReplica{record: out, work: replicaWork, runs: map[string]int{}}
	d, err := newDeployment(out, options{
		entries: 1, replicas: 3, memoryMB: 206, timeout: 600 * time.Millisecond,
		routes: []route{{name: "redeem", prefix: "/redeem/", kind: "non_idempotent", attempts: 2}},
	}, replica.serve)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	wrong, served := 0, 0
	for i := range callers {
		leaves := trouble && i%5 == 4
		attempt := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		answer, err := redeem(out, d.entries[0].address, attempt, leaves)
		switch {
		case errors.Is(err, io.EOF):
			out.line("caller of %s: the connection ended without an answer", attempt)
		case err != nil:
			out.line("caller of %s: %v", attempt, err)
		case answer.status >= 200 && answer.status < 300 && (!answer.signed || answer.body != body(attempt)):
			out.line("MIXED: caller of %s got %d, signed: %t, %d bytes of %d", attempt, answer.status, answer.signed, len(answer.body), len(body(attempt)))
			wrong++
		case answer.status == http.StatusOK:
			out.line("caller of %s got the replica's whole answer", attempt)
			served++
		default:
			out.line("caller of %s got %d", attempt, answer.status)
		}
	}
	out.line("%d callers got the replica's whole answer, %d a success that is not a replica's", served, wrong)
	if served < callers*3/4 {
		return notRun, fmt.Errorf("only %d of %d callers were served", served, callers)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// answer is what a caller received.
type answer struct {
	status int
	signed bool
	body   string
}

// redeem sends one request on a new connection and returns the answer.
func redeem(out *record, address, attempt string, leaves bool) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	text := strings.Join([]string{
		"POST /redeem/" + attempt + " HTTP/1.1", "Host: " + callerHost, "Bramleyspool-Attempt-Id: " + attempt,
		"Bramleyspool-Deadline-Ms: 600", "X-Api-Key: " + apiKey, "Content-Length: 5", "", "spend",
	}, "\r\n")
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{}, err
	}
	out.line("caller sends %s", attempt)
	if leaves {
		time.Sleep(leaveAfter)
		out.line("caller of %s leaves: it closes its direction of the connection", attempt)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return answer{}, err
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}, err
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signed: response.Header.Get("Bramleyspool-Server-Signature") != "", body: string(data)}, err
}
