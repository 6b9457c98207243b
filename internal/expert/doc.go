// Package expert balances expert-parallel model groups whose ranks run in lock-step.
//
// It estimates the popularity of experts from delayed and partial counts, plans the
// placement of experts, and rolls out new expert maps so that all ranks use the same map
// in each step. It has two separate implementations for two kinds of engines.
//
// Package control uses the first one, for engines that run only the steps that their agent
// allows. The agents agree on the first step of a new map and let their ranks start a step
// only if its map is decided:
//   - Popularity estimates the load of the experts from Counts (popularity.go, collector.go);
//   - Planner changes the shares and replicas of a Map (plan.go, planner.go,
//     planner_limits.go, balance.go);
//   - Leader and Member roll out the Map with the messages of messages.go, and StepGate holds
//     steps (leader.go, leader_rollout.go, member.go, member_rollout.go, gate.go);
//   - OrderIssuer sends orders to the agent's engine so that no order takes effect after a
//     newer one (order.go, order_actions.go, order_types.go).
//
// Package rankagent uses the second one, for engines that hold passes and switch maps on
// their own as a pass begins. A pass is a fixed number of steps. The engines store the state
// of a rollout, and the leader sends orders directly to them or through their agents:
//   - Demand estimates the load of the experts from ChoiceCounts (demand.go);
//   - PlanCopies changes a LayerPlacements (copyplan.go, placement_codec.go);
//   - LockstepLeader rolls it out (lockstep.go, lockstep_leader.go, lockstep_steps.go).
//
// The package does no I/O and reads no clock: events carry the time, and effects are
// returned as actions.
package expert
