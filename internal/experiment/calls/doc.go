// Package calls measures the decisions of package attempt under faults. It holds small
// stand-ins for the network, the backend servers and the platform, in which entries and
// agents run in one process on one simulated clock, and a record of what truly ran.
package calls
