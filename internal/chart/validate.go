package chart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Parse decodes and validates a chart. It rejects unknown fields, states, guards and actions, unreachable states, and
// events that a state neither handles nor ignores. The error lists the faults.
func Parse(data []byte, vocabulary Vocabulary) (*Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	c := &Chart{spec: spec, states: make(map[State]*StateSpec, len(spec.States))}
	var faults []error
	for i := range spec.States {
		state := &spec.States[i]
		if c.states[state.Name] != nil {
			faults = append(faults, fmt.Errorf("state %q is defined twice", state.Name))
		}
		c.states[state.Name] = state
	}
	faults = append(faults, c.parentFaults()...)
	if len(faults) == 0 {
		faults = append(faults, c.transitionFaults(vocabulary)...)
		faults = append(faults, c.reachabilityFaults()...)
		faults = append(faults, c.unhandledEventFaults()...)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("chart %s: %w", spec.Name, err)
	}
	return c, nil
}

func (c *Chart) parentFaults() []error {
	var faults []error
	initial := c.states[c.spec.Initial]
	if initial == nil || initial.Abstract {
		faults = append(faults, fmt.Errorf("initial state %q is unknown or abstract", c.spec.Initial))
	}
	for _, state := range c.spec.States {
		depth := 0
		for parent := state.Parent; parent != ""; depth++ {
			spec := c.states[parent]
			if spec == nil {
				faults = append(faults, fmt.Errorf("state %q has the unknown parent %q", state.Name, parent))
				break
			}
			if depth > len(c.spec.States) {
				faults = append(faults, fmt.Errorf("state %q is its own ancestor", state.Name))
				break
			}
			parent = spec.Parent
		}
	}
	return faults
}

func (c *Chart) transitionFaults(vocabulary Vocabulary) []error {
	var faults []error
	for _, state := range c.spec.States {
		if state.Timeout != nil && !slices.Contains(c.spec.Events, state.Timeout.Event) {
			faults = append(faults, fmt.Errorf("state %q has a timeout with the unknown event %q", state.Name, state.Timeout.Event))
		}
		for _, event := range state.Ignores {
			if !slices.Contains(c.spec.Events, event) {
				faults = append(faults, fmt.Errorf("state %q ignores the unknown event %q", state.Name, event))
			}
		}
		for _, transition := range state.On {
			faults = append(faults, c.faultsOfTransition(state.Name, transition, vocabulary)...)
		}
	}
	return faults
}

func (c *Chart) faultsOfTransition(from State, transition Transition, vocabulary Vocabulary) []error {
	var faults []error
	if !slices.Contains(c.spec.Events, transition.Event) {
		faults = append(faults, fmt.Errorf("state %q handles the unknown event %q", from, transition.Event))
	}
	target := c.states[transition.Target]
	if target == nil || target.Abstract {
		faults = append(faults, fmt.Errorf("state %q has a transition to %q, which cannot be entered", from, transition.Target))
	}
	if transition.Guard != "" && !slices.Contains(vocabulary.Guards, transition.Guard) {
		faults = append(faults, fmt.Errorf("state %q uses the unknown guard %q", from, transition.Guard))
	}
	for _, action := range transition.Actions {
		if !slices.Contains(vocabulary.Actions, action) {
			faults = append(faults, fmt.Errorf("state %q uses the unknown action %q", from, action))
		}
	}
	return faults
}

func (c *Chart) reachabilityFaults() []error {
	reached := map[State]bool{c.spec.Initial: true}
	queue := []State{c.spec.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for spec := c.states[state]; spec != nil; spec = c.states[spec.Parent] {
			for _, transition := range spec.On {
				if !reached[transition.Target] {
					reached[transition.Target] = true
					queue = append(queue, transition.Target)
				}
			}
		}
	}
	var faults []error
	for _, state := range c.spec.States {
		if !state.Abstract && !reached[state.Name] {
			faults = append(faults, fmt.Errorf("state %q is unreachable", state.Name))
		}
	}
	return faults
}

func (c *Chart) unhandledEventFaults() []error {
	var faults []error
	for _, state := range c.spec.States {
		if state.Abstract || state.Final {
			continue
		}
		for _, event := range c.spec.Events {
			if !c.handles(state.Name, event) {
				faults = append(faults, fmt.Errorf("state %q neither handles nor ignores event %q", state.Name, event))
			}
		}
	}
	return faults
}

func (c *Chart) handles(state State, event Event) bool {
	for spec := c.states[state]; spec != nil; spec = c.states[spec.Parent] {
		if slices.Contains(spec.Ignores, event) {
			return true
		}
		for _, transition := range spec.On {
			if transition.Event == event {
				return true
			}
		}
	}
	return false
}
