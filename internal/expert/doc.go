// Package expert balances expert-parallel model groups whose ranks run in lock-step.
//
// It estimates the popularity of experts from late and partial counts, plans where
// replicas of experts are placed, rolls a new expert map out over the agents of a
// group so that all ranks use one map in each step, and issues orders to engines so
// that no order takes effect after a newer one.
//
// All code is pure: time comes in with each event, and effects go out as actions.
package expert
