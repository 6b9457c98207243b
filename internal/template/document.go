package template

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/invopop/jsonschema"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Document is the part of the published configuration that holds the templates and customers; published.Document also has
// the fleet.
type Document struct {
	// Version is the version of the configuration. A configuration comes into force only if its version is greater than that
	// of the one in force.
	Version Version `json:"version" jsonschema:"minimum=1"`
	// Templates are the templates that customers refer to.
	Templates []Template `json:"templates" jsonschema:"minItems=1"`
	// Customers are the customers with their templates and parameter values.
	Customers []Customer `json:"customers"`
}

// Template is a set of request classes, weights and limits with parameters, which several customers can use.
type Template struct {
	// Name identifies the template.
	Name string `json:"name" jsonschema:"minLength=1"`
	// Parameters are the numbers that each customer can set, with defaults and bounds.
	Parameters []Parameter `json:"parameters,omitempty"`
	// Weight is the customer's weight in fair sharing. Default: 1.
	Weight Number `json:"weight,omitzero"`
	// Experts weighs step-time skew against the cost of rebalancing in model groups that serve the customer. If several
	// customers use a group, their mean applies, weighted by Weight. Default: 1 for both.
	Experts ExpertNumbers `json:"experts,omitzero"`
	// Classes are the request classes of a customer.
	Classes []Class `json:"classes" jsonschema:"minItems=1"`
}

// Parameter is a number that each customer can set.
type Parameter struct {
	// Name identifies the parameter within the template.
	Name string `json:"name" jsonschema:"minLength=1"`
	// Default is the value for customers that do not set the parameter.
	Default float64 `json:"default"`
	// Min is the smallest accepted value.
	Min float64 `json:"min"`
	// Max is the largest accepted value.
	Max float64 `json:"max"`
}

// ExpertNumbers holds the numbers of a template for ExpertWeights: weights of step-time skew and of rebalancing.
type ExpertNumbers struct {
	// Skew is the weight of step-time skew: the longer steps of a lock-step group whose ranks have different loads.
	Skew Number `json:"skew"`
	// Rebalancing is the weight of the cost of moving experts between ranks: moved bytes and delayed steps.
	Rebalancing Number `json:"rebalancing"`
}

// Class is one request class of a template.
type Class struct {
	// Name identifies the class within the template.
	Name ident.Class `json:"name" jsonschema:"minLength=1"`
	// Service is the model or plain service that serves the class.
	Service ident.Service `json:"service" jsonschema:"minLength=1"`
	// Kind is "model" for completions and "plain" for other HTTP calls.
	Kind Kind `json:"kind" jsonschema:"enum=model,enum=plain"`
	// Routes are the HTTP methods and paths of the class's calls. A model class needs none: its calls name the class in the
	// header Bramleyspool-Class; without it they belong to the template's first model class.
	Routes []Route `json:"routes,omitempty"`
	// Idempotent is true if a request can safely run more than once. Default: false.
	Idempotent bool `json:"idempotent,omitempty"`
	// RunKeyFields names top-level fields of the JSON body from which the run key is built if the caller sends no
	// Idempotency-Key.
	RunKeyFields []string `json:"run_key_fields,omitempty"`
	// Worth is the relative value of serving one request. Default: 1.
	Worth Number `json:"worth,omitzero"`
	// Priority is the priority band; band 0 is served first. Default: 0.
	Priority Priority `json:"priority,omitempty" jsonschema:"minimum=0,maximum=7"`
	// DeadlineMS is the maximum time from the arrival of a request to the start of its response, in milliseconds.
	DeadlineMS Number `json:"deadline_ms"`
	// Limits bound the customer's use of the class in the whole fleet. Default: no limits.
	Limits LimitNumbers `json:"limits,omitzero"`
}

// Route is one HTTP method and path of a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method" jsonschema:"enum=GET,enum=HEAD,enum=POST,enum=PUT,enum=PATCH,enum=DELETE"`
	// Path is the path. A segment in braces, such as {account}, matches any one segment.
	Path string `json:"path" jsonschema:"pattern=^/"`
}

// LimitNumbers bounds a customer's use of a class; an absent number means no limit.
type LimitNumbers struct {
	// RatePerSecond is the maximum number of requests per second.
	RatePerSecond Number `json:"rate_per_second,omitzero"`
	// Concurrency is the maximum number of requests open at the same time.
	Concurrency Number `json:"concurrency,omitzero"`
	// TokensPerSecond is the maximum number of prompt and output tokens per second.
	TokensPerSecond Number `json:"tokens_per_second,omitzero"`
}

// Customer is one customer with its template and parameter values.
type Customer struct {
	// Name identifies the customer.
	Name ident.Customer `json:"name" jsonschema:"minLength=1"`
	// Template is the name of the customer's template.
	Template string `json:"template" jsonschema:"minLength=1"`
	// CredentialSHA256 holds the SHA-256 of each bearer credential of the customer, in hexadecimal.
	CredentialSHA256 []string `json:"credential_sha256" jsonschema:"minItems=1"`
	// Parameters are the customer's parameter values. Parameters that are not listed have their default.
	Parameters []Value `json:"parameters,omitempty"`
}

// Value is a customer's value of one parameter.
type Value struct {
	// Name is the parameter's name.
	Name string `json:"name" jsonschema:"minLength=1"`
	// Value is the parameter's value.
	Value float64 `json:"value"`
}

// Number is a literal number or a reference to a parameter, written {"param": "name"}.
type Number struct {
	Literal float64
	Param   string
	set     bool
}

// IsZero reports whether the number is absent from the document.
func (n Number) IsZero() bool {
	return !n.set
}

type paramReference struct {
	Param string `json:"param"`
}

// MarshalJSON writes the number as a literal or a reference.
func (n Number) MarshalJSON() ([]byte, error) {
	if n.Param != "" {
		return json.Marshal(paramReference{Param: n.Param})
	}
	return json.Marshal(n.Literal)
}

// UnmarshalJSON reads a literal or a reference.
func (n *Number) UnmarshalJSON(data []byte) error {
	n.set = true
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return json.Unmarshal(data, &n.Literal)
	}
	var reference paramReference
	if err := json.Unmarshal(data, &reference); err != nil {
		return fmt.Errorf("number: %w", err)
	}
	n.Param = reference.Param
	return nil
}

// JSONSchema returns the schema of a literal or a reference.
func (Number) JSONSchema() *jsonschema.Schema {
	properties := jsonschema.NewProperties()
	properties.Set("param", &jsonschema.Schema{Type: "string"})
	reference := &jsonschema.Schema{
		Type:                 "object",
		Properties:           properties,
		Required:             []string{"param"},
		AdditionalProperties: jsonschema.FalseSchema,
	}
	return &jsonschema.Schema{
		AnyOf:       []*jsonschema.Schema{{Type: "number"}, reference},
		Description: "A number, or a reference to a parameter of the template.",
	}
}
