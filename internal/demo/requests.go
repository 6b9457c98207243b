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

// choiceCount is the number of values of {c}.
const choiceCount = 7

// requestKind is a kind of request of a request set. In path, key and body, {n} stands for a
// unique number of the request, and {c} for a number from 0 to choiceCount-1.
type requestKind struct {
	Name   string          `json:"name"`
	Weight int             `json:"weight"`
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body,omitempty"`
	// Key is the value of the idempotency header; "" sends none.
	Key string `json:"key,omitempty"`
	// Resend is the share of requests (0 to 1) that the caller sends twice at the same time.
	Resend float64 `json:"resend,omitempty"`
}

// requestSet holds the kinds of requests that the callers of a deployment send, drawn by
// weight.
type requestSet struct {
	Kinds []requestKind `json:"kinds"`
	// Crash is a request that crashes its backend server.
	Crash requestKind `json:"crash"`
}

// request is a generated request of a caller.
type request struct {
	kind     string
	customer ident.Customer
	method   string
	path     string
	body     []byte
	key      string
	// resend is true if the caller sends the request twice at the same time.
	resend bool
}

// completionRequest is the body of a model request.
type completionRequest struct {
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

// generator generates requests; the seed of random determines their order.
type generator struct {
	requests   *requestSet
	customers  []ident.Customer
	random     *rand.Rand
	lastNumber int
}

func (g *generator) next() request {
	total := 0
	for _, kind := range g.requests.Kinds {
		total += kind.Weight
	}
	draw := g.random.IntN(total)
	for i := range g.requests.Kinds {
		draw -= g.requests.Kinds[i].Weight
		if draw < 0 {
			return g.newRequest(&g.requests.Kinds[i])
		}
	}
	panic("invariant: the weights of the request kinds do not add up to their total")
}

func (g *generator) newRequest(kind *requestKind) request {
	g.lastNumber++
	replacer := strings.NewReplacer("{n}", strconv.Itoa(g.lastNumber), "{c}", strconv.Itoa(g.random.IntN(choiceCount)))
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
