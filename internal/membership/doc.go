// Package membership decides which backend servers an entry may send work to, and
// which configuration a process has in force.
//
// An agent grants short leases with credits to entries (Grantor); an entry keeps one
// lease for each backend server of its subset (Holder, Subset); every process takes part
// in the distribution of the configuration (ConfigNode). All are state machines
// without a clock, sockets or goroutines: Step takes the time and an event, and returns
// the actions that the caller must carry out, in order.
package membership
