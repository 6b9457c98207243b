// Package membership decides which backend servers an entry may send work to, and
// which configuration a process has in force.
//
// An agent grants short leases with credits to entries (Grantor); an entry keeps one
// lease for each backend server of its subset (Holder, Subsets); every process takes part
// in the distribution of the configuration (ConfigNode).
//
// Grantor, Holder and ConfigNode are state machines without a clock, sockets or
// goroutines: Step takes the time and an event, and returns the actions that the caller
// must carry out, in order. The Holder takes the states of a backend server and their
// transitions from the state chart charts/lease.json. Subsets is a pure function. Listing
// and Freshness are updated and queried by method calls and return no actions.
package membership
