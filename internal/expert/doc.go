// Package expert balances expert-parallel model groups whose ranks run in lock-step.
//
// It estimates the popularity of experts from delayed and partial counts and plans the
// placement of expert replicas. It rolls out a new expert map to the agents of a group
// so that all ranks use the same map in each step. It issues orders to engines so that
// no order takes effect after a newer one.
//
// The package does no I/O and reads no clock: events carry the time, and effects are
// returned as actions.
package expert
