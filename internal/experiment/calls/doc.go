// Package calls measures the decisions of package attempt under faults. It simulates the network,
// the backend servers and the platform: entries and agents run in one process on one simulated
// clock, and a record of all runs shows whether a request ran more than once.
package calls
