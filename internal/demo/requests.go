package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/bramleyspool/bramleyspool/examples"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const centres = 7

// requestKind is one kind of request of a request set. In path, key and body {n} stands
// for a number that no other request has, and {c} for one of a few.
type requestKind struct {
	Name   string          `json:"name"`
	Weight int             `json:"weight"`
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body,omitempty"`
	// Key is the caller's idempotency key; "" sends none.
	Key string `json:"key,omitempty"`
	// Resend is the share of requests that the caller sends twice.
	Resend float64 `json:"resend,omitempty"`
}

// requestSet is what the callers of a deployment send.
type requestSet struct {
	Kinds []requestKind `json:"kinds"`
	// Crash is a request that crashes its backend server.
	Crash requestKind `json:"crash"`
}

// request is one request of a caller.
type request struct {
	kind     string
	customer ident.Customer
	method   string
	path     string
	body     []byte
	key      string
	resend   bool
}

// completion is the body of a model request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func readRequests(name string) (*requestSet, error) {
	data, err := examples.Files.ReadFile(name + "/requests.json")
	if err != nil {
		return nil, fmt.Errorf("deployment %q: %w", name, err)
	}
	var set requestSet
	return &set, json.Unmarshal(data, &set)
}

// generator makes requests in an order that its seed decides.
type generator struct {
	set       *requestSet
	customers []ident.Customer
	random    *rand.Rand
	number    int
}

func (g *generator) next() request {
	total := 0
	for _, kind := range g.set.Kinds {
		total += kind.Weight
	}
	draw := g.random.IntN(total)
	for i := range g.set.Kinds {
		draw -= g.set.Kinds[i].Weight
		if draw < 0 {
			return g.make(&g.set.Kinds[i])
		}
	}
	panic("invariant: weights do not sum up")
}

func (g *generator) make(kind *requestKind) request {
	g.number++
	replacer := strings.NewReplacer("{n}", strconv.Itoa(g.number), "{c}", strconv.Itoa(g.random.IntN(centres)))
	return request{
		kind:     kind.Name,
		customer: g.customers[g.random.IntN(len(g.customers))],
		method:   kind.Method,
		path:     replacer.Replace(kind.Path),
		body:     []byte(replacer.Replace(string(kind.Body))),
		key:      replacer.Replace(kind.Key),
		resend:   g.random.Float64() < kind.Resend,
	}
}
