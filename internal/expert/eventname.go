package expert

// EventName returns the name of an action in timelines, logs and metric counters. It
// returns false for actions that are not reported.
func EventName(action Action) (string, bool) {
	switch action.(type) {
	case LeadershipChanged:
		return "group_leadership", true
	case JoinGeneration:
		return "group_generation_joined", true
	case LeaveGeneration:
		return "group_generation_left", true
	case MapScheduled:
		return "group_map_scheduled", true
	case RolloutEnded:
		return "group_rollout_ended", true
	case StepHeld:
		return "group_step_held", true
	case RefuseStep:
		return "group_step_refused", true
	case LoadWeights:
		return "group_weights_wanted", true
	case LoadEnded:
		return "group_weights_loaded", true
	case OrderEnded:
		return "engine_order_ended", true
	case OrderInDoubt:
		return "engine_order_doubtful", true
	default:
		return "", false
	}
}
