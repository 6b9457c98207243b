// Package attempt decides how calls are dispatched to backend servers and which outcome they
// get: run keys and their ownership, proof that a request was not run, retries, hedged
// requests, resumed streams, and the quarantine of requests that crash backend servers.
//
// The package holds three state machines. Caller holds the open calls of one entry, Log is
// the entry's record of dispatched run keys, and Owner is the agent's table of dispatches and
// run keys. Each is driven by one goroutine through Step, which takes the time and an event
// and returns actions. Nothing in the package reads a clock or does I/O.
package attempt
