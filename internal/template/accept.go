package template

import (
	_ "embed" // for the schema
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/schema"
)

//go:embed schema.json
var schemaText []byte

// Schema is the JSON schema of a Document.
var Schema = schema.New("template.schema.json", schemaText)

// MaxDocumentBytes is the maximum size of a published configuration.
const MaxDocumentBytes = 1 << 20

const (
	sha256Bytes = 32
	// maxDeadlineMS is one day.
	maxDeadlineMS = 24 * 60 * 60 * 1000
)

// CustomerPlans holds the plans of all customers of a valid document, in which all parameters are resolved, with the
// credentials and routes by which calls are assigned to customers and classes. It is immutable.
type CustomerPlans struct {
	Version           Version
	Plans             []CustomerPlan
	planIndexes       map[ident.Customer]int
	totalWeight       float64
	customersByDigest map[string]ident.Customer
	routes            map[ident.Customer][]compiledRoute
}

// Accept decodes and validates templates and customers without a fleet; published.Accept does so for a whole published
// configuration. It is a pure function of data, so all processes get the same result. It returns either the plans or all
// faults.
func Accept(data []byte) (*CustomerPlans, fault.List) {
	if len(data) > MaxDocumentBytes {
		return nil, fault.List{{Expected: fmt.Sprintf("at most %d bytes", MaxDocumentBytes), Found: fmt.Sprintf("%d bytes", len(data))}}
	}
	var document Document
	if faults := Schema.Decode(data, &document); len(faults) > 0 {
		return nil, faults
	}
	return document.Accept()
}

// Accept validates a decoded document.
func (d *Document) Accept() (*CustomerPlans, fault.List) {
	accepted := &CustomerPlans{
		Version:           d.Version,
		planIndexes:       make(map[ident.Customer]int, len(d.Customers)),
		customersByDigest: make(map[string]ident.Customer, len(d.Customers)),
		routes:            make(map[ident.Customer][]compiledRoute, len(d.Customers)),
	}
	faults := &fault.Collector{}
	templates := d.checkTemplates(faults)
	for i := range d.Customers {
		path := fmt.Sprintf("/customers/%d", i)
		accepted.add(&d.Customers[i], templates, path, faults)
	}
	if list := faults.Faults(); len(list) > 0 {
		return nil, list
	}
	return accepted, nil
}

func (d *Document) checkTemplates(faults *fault.Collector) map[string]*Template {
	templates := make(map[string]*Template, len(d.Templates))
	for i := range d.Templates {
		template := &d.Templates[i]
		path := fmt.Sprintf("/templates/%d", i)
		faults.Check(templates[template.Name] == nil, path+"/name", "a name that no other template has", template.Name)
		templates[template.Name] = template
		template.check(path, faults)
	}
	return templates
}

func (t *Template) check(path string, faults *fault.Collector) {
	names := make(map[string]bool, len(t.Parameters))
	for i, parameter := range t.Parameters {
		at := fmt.Sprintf("%s/parameters/%d", path, i)
		faults.Check(!names[parameter.Name], at+"/name", "a name that no other parameter has", parameter.Name)
		faults.Check(parameter.Min <= parameter.Max, at+"/max", fmt.Sprintf("at least min, %v", parameter.Min), parameter.Max)
		inRange := parameter.Default >= parameter.Min && parameter.Default <= parameter.Max
		faults.Check(inRange, at+"/default", fmt.Sprintf("a number from %v to %v", parameter.Min, parameter.Max), parameter.Default)
		names[parameter.Name] = true
	}
	classes := make(map[ident.Class]bool, len(t.Classes))
	for i := range t.Classes {
		class := &t.Classes[i]
		at := fmt.Sprintf("%s/classes/%d", path, i)
		faults.Check(!classes[class.Name], at+"/name", "a name that no other class has", class.Name)
		classes[class.Name] = true
		class.check(at, faults)
	}
}

func (c *Class) check(path string, faults *fault.Collector) {
	if c.Kind == KindPlain {
		faults.Check(len(c.Routes) > 0, path+"/routes", "at least one route for a plain service", "none")
	}
	if c.Kind == KindModel && !c.Idempotent {
		faults.Check(len(c.RunKeyFields) == 0, path+"/run_key_fields", "none for a model class", strings.Join(c.RunKeyFields, ", "))
	}
	if c.Idempotent {
		faults.Check(len(c.RunKeyFields) == 0, path+"/run_key_fields", "none for an idempotent class", strings.Join(c.RunKeyFields, ", "))
	}
	for i, route := range c.Routes {
		at := fmt.Sprintf("%s/routes/%d", path, i)
		safe := route.Method == http.MethodGet || route.Method == http.MethodHead
		faults.Check(!safe || c.Idempotent, at+"/method", "a method other than GET and HEAD for a class that is not idempotent", route.Method)
	}
}

func (p *CustomerPlans) add(customer *Customer, templates map[string]*Template, path string, faults *fault.Collector) {
	if _, ok := p.planIndexes[customer.Name]; ok {
		faults.Add(path+"/name", "a name that no other customer has", customer.Name)
		return
	}
	p.addCredentials(customer, path, faults)
	template := templates[customer.Template]
	if template == nil {
		faults.Add(path+"/template", "the name of a template", customer.Template)
		return
	}
	builder := newPlanBuilder(template, customer, path, faults)
	p.planIndexes[customer.Name] = len(p.Plans)
	plan := builder.plan(template, customer)
	p.Plans = append(p.Plans, plan)
	p.totalWeight += plan.Weight
	p.routes[customer.Name] = compileRoutes(template)
}

func (p *CustomerPlans) addCredentials(customer *Customer, path string, faults *fault.Collector) {
	for i, digest := range customer.CredentialSHA256 {
		at := fmt.Sprintf("%s/credential_sha256/%d", path, i)
		raw, err := hex.DecodeString(digest)
		faults.Check(err == nil && len(raw) == sha256Bytes, at, "64 hexadecimal digits", digest)
		digest = strings.ToLower(digest)
		_, assigned := p.customersByDigest[digest]
		faults.Check(!assigned, at, "a credential that no other customer has", digest)
		p.customersByDigest[digest] = customer.Name
	}
}

// planBuilder resolves the parameters of a template for one customer and builds the customer's plan.
type planBuilder struct {
	values map[string]float64
	path   string
	faults *fault.Collector
}

func newPlanBuilder(template *Template, customer *Customer, path string, faults *fault.Collector) *planBuilder {
	b := &planBuilder{values: make(map[string]float64, len(template.Parameters)), path: path, faults: faults}
	bounds := make(map[string]Parameter, len(template.Parameters))
	for _, parameter := range template.Parameters {
		bounds[parameter.Name] = parameter
		b.values[parameter.Name] = parameter.Default
	}
	assigned := make(map[string]bool, len(customer.Parameters))
	for i, value := range customer.Parameters {
		at := fmt.Sprintf("%s/parameters/%d", path, i)
		parameter, known := bounds[value.Name]
		if !known {
			faults.Add(at+"/name", "a parameter of template "+template.Name, value.Name)
			continue
		}
		faults.Check(!assigned[value.Name], at+"/name", "a parameter that is set once", value.Name)
		assigned[value.Name] = true
		inRange := value.Value >= parameter.Min && value.Value <= parameter.Max
		faults.Check(inRange, at+"/value", fmt.Sprintf("a number from %v to %v", parameter.Min, parameter.Max), value.Value)
		b.values[value.Name] = value.Value
	}
	return b
}

// resolve returns the value of a literal or a parameter, or the fallback if the number is absent. A fault of the template
// is reported at each customer that uses it.
func (b *planBuilder) resolve(n Number, fallback float64, field string) float64 {
	if n.IsZero() {
		return fallback
	}
	if n.Param == "" {
		return n.Literal
	}
	value, ok := b.values[n.Param]
	if !ok {
		b.faults.Add(b.path+"/template", "a parameter name for "+field+" that the template defines", n.Param)
		return fallback
	}
	return value
}

func (b *planBuilder) positive(n Number, fallback float64, field string) float64 {
	value := b.resolve(n, fallback, field)
	b.faults.Check(value > 0 && !math.IsInf(value, 0), b.path, field+" greater than 0", value)
	return value
}

func (b *planBuilder) notNegative(n Number, fallback float64, field string) float64 {
	value := b.resolve(n, fallback, field)
	b.faults.Check(value >= 0 && !math.IsInf(value, 0), b.path, field+" of at least 0", value)
	return value
}

// limit returns the value of a limit, or 0 if it is absent. A limit of 0 is refused, since 0 means no limit in a plan.
func (b *planBuilder) limit(n Number, field string) float64 {
	if n.IsZero() {
		return 0
	}
	return b.positive(n, 0, field)
}

func (b *planBuilder) plan(template *Template, customer *Customer) CustomerPlan {
	plan := CustomerPlan{
		Customer: customer.Name,
		Weight:   b.positive(template.Weight, 1, "weight"),
		Experts: ExpertWeights{
			Skew:        b.notNegative(template.Experts.Skew, 1, "experts.skew"),
			Rebalancing: b.notNegative(template.Experts.Rebalancing, 1, "experts.rebalancing"),
		},
	}
	for i := range template.Classes {
		plan.Classes = append(plan.Classes, b.class(&template.Classes[i]))
	}
	return plan
}

func (b *planBuilder) class(class *Class) ClassPlan {
	field := "class " + string(class.Name) + " "
	deadlineMS := b.positive(class.DeadlineMS, 1, field+"deadline_ms")
	b.faults.Check(deadlineMS <= maxDeadlineMS, b.path, fmt.Sprintf("%sdeadline_ms of at most %d", field, maxDeadlineMS), deadlineMS)
	concurrency := b.limit(class.Limits.Concurrency, field+"concurrency")
	b.faults.Check(concurrency == math.Trunc(concurrency), b.path, field+"concurrency that is a whole number", concurrency)
	return ClassPlan{
		Name:         class.Name,
		Service:      class.Service,
		Kind:         class.Kind,
		Idempotent:   class.Idempotent,
		RunKeyFields: class.RunKeyFields,
		Worth:        b.positive(class.Worth, 1, field+"worth"),
		Priority:     class.Priority,
		Deadline:     time.Duration(deadlineMS * float64(time.Millisecond)),
		Limits: Limits{
			RatePerSecond:   b.limit(class.Limits.RatePerSecond, field+"rate_per_second"),
			Concurrency:     int(concurrency),
			TokensPerSecond: b.limit(class.Limits.TokensPerSecond, field+"tokens_per_second"),
		},
	}
}

// Services returns the services of all classes of all customers, sorted by name.
func (p *CustomerPlans) Services() []ident.Service {
	added := map[ident.Service]bool{}
	var services []ident.Service
	for i := range p.Plans {
		for j := range p.Plans[i].Classes {
			service := p.Plans[i].Classes[j].Service
			if !added[service] {
				added[service] = true
				services = append(services, service)
			}
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i] < services[j] })
	return services
}
