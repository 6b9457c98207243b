// Package chart loads and interprets the state charts in charts/*.json: hierarchical states, guarded transitions, actions,
// and timeouts that are delivered as events.
package chart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Guard names a condition of a transition. The caller of Next evaluates it.
type Guard string

// Action names an action of a transition. The caller of Next carries it out.
type Action string

// Duration is a time.Duration written as a JSON string such as "3s".
type Duration time.Duration

// UnmarshalJSON decodes a JSON string in the form of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Transition leads from its state to the target state on an event.
type Transition struct {
	Event Event `json:"event"`
	// Guard must be true for the transition to be taken; "" is always true.
	Guard   Guard    `json:"guard,omitempty"`
	Target  State    `json:"target"`
	Actions []Action `json:"actions,omitempty"`
}

// Timeout defines an event that is raised when a state has lasted for the duration After.
type Timeout struct {
	After Duration `json:"after"`
	Event Event    `json:"event"`
}

// StateSpec is the definition of one state.
type StateSpec struct {
	Name State `json:"name"`
	// Parent is the state whose transitions also apply to this one; "" for none.
	Parent State `json:"parent,omitempty"`
	// Abstract is true for a parent that can't be entered itself.
	Abstract bool `json:"abstract,omitempty"`
	// Final is true for a state that has no transitions and ignores all events.
	Final bool         `json:"final,omitempty"`
	On    []Transition `json:"on,omitempty"`
	// Ignores lists the events that are expected in the state but have no effect.
	Ignores []Event  `json:"ignores,omitempty"`
	Timeout *Timeout `json:"timeout,omitempty"`
}

// Spec is the content of a chart file.
type Spec struct {
	Name    string      `json:"name"`
	Doc     string      `json:"doc"`
	Initial State       `json:"initial"`
	Events  []Event     `json:"events"`
	States  []StateSpec `json:"states"`
}

// Vocabulary lists the guards and actions that the code implements for a chart.
type Vocabulary struct {
	Guards  []Guard
	Actions []Action
}

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	spec   Spec
	states map[State]*StateSpec
}

// Step is the result of an event in a state. From and To are equal if the event is ignored or the transition is a
// self-transition.
type Step struct {
	From    State
	To      State
	Event   Event
	Actions []Action
	// Ignored is true if the state ignores the event; To is then From.
	Ignored bool
}

// ErrUnhandled means that a state neither handles nor ignores an event.
var ErrUnhandled = errors.New("unhandled event")

// Load reads and validates the chart in the file NAME.json.
func Load(files fs.FS, name string, vocabulary Vocabulary) (*Chart, error) {
	data, err := fs.ReadFile(files, name+".json")
	if err != nil {
		return nil, fmt.Errorf("chart %s: %w", name, err)
	}
	return Parse(data, vocabulary)
}

// Initial returns the chart's initial state.
func (c *Chart) Initial() State {
	return c.spec.Initial
}

// Spec returns the chart's definition, for diagrams and tests.
func (c *Chart) Spec() Spec {
	return c.spec
}

// Final reports whether the state is final.
func (c *Chart) Final(state State) bool {
	spec, ok := c.states[state]
	return ok && spec.Final
}

// TimeoutOf returns the timeout of a state, or else that of its nearest ancestor that has one.
func (c *Chart) TimeoutOf(state State) (Timeout, bool) {
	for spec := c.states[state]; spec != nil; spec = c.states[spec.Parent] {
		if spec.Timeout != nil {
			return *spec.Timeout, true
		}
	}
	return Timeout{}, false
}

// Next returns the step that an event causes in a state. It takes the first transition whose guard is true; a state's own
// transitions precede those of its ancestors. If all guards are false, the event is ignored. The error is ErrUnhandled.
func (c *Chart) Next(state State, event Event, guardHolds func(Guard) bool) (Step, error) {
	step := Step{From: state, To: state, Event: event, Ignored: true}
	handled := false
	for spec := c.states[state]; spec != nil; spec = c.states[spec.Parent] {
		for _, transition := range spec.On {
			if transition.Event != event {
				continue
			}
			handled = true
			if transition.Guard != "" && (guardHolds == nil || !guardHolds(transition.Guard)) {
				continue
			}
			step.To = transition.Target
			step.Actions = transition.Actions
			step.Ignored = false
			return step, nil
		}
		if slices.Contains(spec.Ignores, event) {
			return step, nil
		}
		if spec.Final {
			return step, nil
		}
	}
	if handled {
		return step, nil
	}
	return step, fmt.Errorf("chart %s: state %q, event %q: %w", c.spec.Name, state, event, ErrUnhandled)
}
