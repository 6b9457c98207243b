package chart

import (
	"fmt"
	"strings"
	"time"
)

// Diagram returns a Markdown page with a Mermaid state diagram of the chart.
func (c *Chart) Diagram() string {
	var page strings.Builder
	fmt.Fprintf(&page, "# Chart `%s`\n\n%s\n\n```mermaid\nstateDiagram-v2\n", c.spec.Name, c.spec.Doc)
	fmt.Fprintf(&page, "    [*] --> %s\n", mermaidID(c.spec.Initial))
	for _, state := range c.spec.States {
		if state.Parent != "" {
			fmt.Fprintf(&page, "    note right of %s: within %s\n", mermaidID(state.Name), state.Parent)
		}
		if state.Timeout != nil {
			fmt.Fprintf(&page, "    note right of %s: %s after %s\n", mermaidID(state.Name), state.Timeout.Event, time.Duration(state.Timeout.After))
		}
		for _, transition := range state.On {
			fmt.Fprintf(&page, "    %s --> %s: %s\n", mermaidID(state.Name), mermaidID(transition.Target), transitionLabel(transition))
		}
		if state.Final {
			fmt.Fprintf(&page, "    %s --> [*]\n", mermaidID(state.Name))
		}
	}
	page.WriteString("```\n")
	return page.String()
}

// mermaidID returns a state's name as a Mermaid identifier.
func mermaidID(state State) string {
	return strings.ReplaceAll(string(state), "-", "_")
}

func transitionLabel(transition Transition) string {
	text := string(transition.Event)
	if transition.Guard != "" {
		text += " [" + string(transition.Guard) + "]"
	}
	if len(transition.Actions) == 0 {
		return text
	}
	actions := make([]string, len(transition.Actions))
	for i, action := range transition.Actions {
		actions[i] = string(action)
	}
	return text + " / " + strings.Join(actions, ", ")
}
