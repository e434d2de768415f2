package chart

import (
	"fmt"
	"strings"
	"time"
)

// Mermaid renders a chart as a Mermaid state diagram.
func Mermaid(def *Definition) string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", def.Initial)
	for _, t := range def.Transitions {
		for _, from := range t.From {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", from, t.To, label(t))
		}
	}
	for _, s := range def.States {
		if s.Kind == Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
		if s.Timeout != 0 {
			fmt.Fprintf(&b, "    note right of %s: %s after %s\n", s.Name, s.OnTimeout, time.Duration(s.Timeout))
		}
	}
	return b.String()
}

func label(t Transition) string {
	text := string(t.Event)
	if t.Guard != "" {
		text += " [" + t.Guard + "]"
	}
	if len(t.Actions) > 0 {
		text += " / " + strings.Join(t.Actions, ", ")
	}
	return text
}
