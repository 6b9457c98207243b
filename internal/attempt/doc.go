// Package attempt decides how calls are dispatched to backend servers and which outcome they
// get: run keys and their ownership, proof that a request was not run, retries, hedged
// requests, resumed streams, and the quarantine of requests that crash backend servers.
//
// The package holds three state machines. CallTable holds the open calls of one entry, Log is
// the entry's record of dispatched run keys, and Owner is the agent's table of dispatches and
// run keys. Each is driven by one goroutine through Step, which takes the time and an event
// and returns actions. Nothing in the package reads a clock or does I/O.
//
// The incarnations of a VM's process are ordered by their numbers here: the one with the greater
// number is the later one. If the clock was set back, a restarted process may have a smaller number
// than an incarnation that is already known. It then receives an answer with that number as
// Superseding, and must restart with a greater one.
package attempt
