package template_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const credentialDigest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const document = `{"version": 3,
"templates": [{"name": "counter",
  "parameters": [{"name": "weight", "default": 1, "min": 0.5, "max": 10}, {"name": "rate", "default": 20, "min": 1, "max": 500}],
  "weight": {"param": "weight"},
  "classes": [
    {"name": "lookup", "service": "ledger", "kind": "plain", "idempotent": true, "worth": 2, "deadline_ms": 800,
     "routes": [{"method": "GET", "path": "/v1/balance/{account}"}, {"method": "GET", "path": "/v1/balance/all"}],
     "limits": {"rate_per_second": {"param": "rate"}}},
    {"name": "redemption", "service": "ledger", "kind": "plain", "worth": 20, "deadline_ms": 5000,
     "routes": [{"method": "POST", "path": "/v1/redemptions"}], "run_key_fields": ["voucher", "session"]},
    {"name": "draft", "service": "writer", "kind": "model", "idempotent": true, "priority": 2, "deadline_ms": 60000}]}],
"customers": [{"name": "dakar-employers", "template": "counter", "credential_sha256": ["` + credentialDigest + `"],
  "parameters": [{"name": "rate", "value": 40}]}]}`

func TestAcceptResolvesParameters(t *testing.T) {
	c := qt.New(t)
	accepted, faults := template.Accept([]byte(document))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(accepted.Version, qt.Equals, template.Version(3))
	plan := accepted.Plan("dakar-employers")
	c.Assert(plan.Weight, qt.Equals, 1.0)
	c.Assert(plan.Experts, qt.Equals, template.ExpertWeights{Skew: 1, Rebalancing: 1})
	lookup := accepted.ClassOfRoute("dakar-employers", "GET", "/v1/balance/17")
	c.Assert(lookup.Name, qt.Equals, plan.Classes[0].Name)
	c.Assert(lookup.Limits.RatePerSecond, qt.Equals, 40.0)
	c.Assert(lookup.Deadline, qt.Equals, 800*time.Millisecond)
	c.Assert(accepted.ClassOfRoute("dakar-employers", "POST", "/v1/balance/17"), qt.IsNil)
	c.Assert(accepted.ClassOfRoute("stranger", "GET", "/v1/balance/17"), qt.IsNil)
	c.Assert(string(accepted.ModelClass("dakar-employers", "").Name), qt.Equals, "draft")
	c.Assert(accepted.Plan("stranger"), qt.IsNil)
}

func TestRelativeWeightIsThatOfTheMean(t *testing.T) {
	c := qt.New(t)
	two := strings.Replace(document, `"customers": [`, `"customers": [
 {"name": "heavy", "template": "counter", "credential_sha256": ["`+strings.Repeat("b", 64)+`"], "parameters": [{"name": "weight", "value": 3}]}, `, 1)
	accepted, faults := template.Accept([]byte(two))
	c.Assert(faults, qt.HasLen, 0)
	c.Check(accepted.RelativeWeight("heavy"), qt.Equals, 1.5)
	c.Check(accepted.RelativeWeight("dakar-employers"), qt.Equals, 0.5)
	c.Check(accepted.RelativeWeight("stranger"), qt.Equals, 1.0)
}

func TestAcceptReportsPathAndExpectedValue(t *testing.T) {
	cases := []struct {
		name, from, to, path, expected string
	}{
		{"unknown field", `"version": 3`, `"version": 3, "colour": 1`, "/colour", "no field of this name"},
		{"wrong type", `"priority": 2`, `"priority": "high"`, "/templates/0/classes/2/priority", "got string"},
		{"no deadline", `"deadline_ms": 60000`, `"worth": 1`, "/templates/0/classes/2", "deadline_ms"},
		{"unknown template", `"template": "counter"`, `"template": "till"`, "/customers/0/template", "the name of a template"},
		{"unknown parameter", `{"name": "rate", "value": 40}`, `{"name": "speed", "value": 40}`, "/customers/0/parameters/0/name", "a parameter of template counter"},
		{"value out of bounds", `"value": 40`, `"value": 4000`, "/customers/0/parameters/0/value", "a number from 1 to 500"},
		{"unknown reference", `{"param": "weight"}`, `{"param": "heft"}`, "/customers/0/template", "a parameter name for weight that the template defines"},
		{"run key of an idempotent class", `"idempotent": true, "worth": 2`, `"idempotent": true, "run_key_fields": ["x"], "worth": 2`, "/templates/0/classes/0/run_key_fields", "none for an idempotent class"},
		{"safe method for a class that is not idempotent", `"method": "POST"`, `"method": "GET"`, "/templates/0/classes/1/routes/0/method", "a method other than GET and HEAD"},
		{"credential", credentialDigest, "abc", "/customers/0/credential_sha256/0", "64 hexadecimal digits"},
		{"negative worth", `"worth": 2,`, `"worth": -2,`, "/customers/0", "worth greater than 0"},
		{"no JSON", `{"version"`, `{version`, "", "a JSON document"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			changed := strings.Replace(document, tc.from, tc.to, 1)
			c.Assert(changed, qt.Not(qt.Equals), document)
			accepted, faults := template.Accept([]byte(changed))
			c.Assert(accepted, qt.IsNil)
			found := false
			for _, fault := range faults {
				found = found || (fault.Path == tc.path && strings.Contains(fault.Expected, tc.expected))
			}
			c.Assert(found, qt.IsTrue, qt.Commentf("%v", faults))
		})
	}
}

// Accept must report the faults of all customers at once instead of stopping at the first.
func TestAcceptReportsAllFaults(t *testing.T) {
	c := qt.New(t)
	changed := strings.Replace(document, `"value": 40`, `"value": 4000`, 1)
	changed = strings.Replace(changed, credentialDigest, "abc", 1)
	_, faults := template.Accept([]byte(changed))
	c.Assert(faults, qt.HasLen, 2)
}

// TestDocumentOf570CustomersFitsSizeLimit guards against a document format in which 570 customers, as many as in the
// benchmarks of package admission, need more than half of the maximum size. The published configuration also contains the
// fleet, and its maximum size is the same.
func TestDocumentOf570CustomersFitsSizeLimit(t *testing.T) {
	c := qt.New(t)
	var value template.Document
	c.Assert(json.Unmarshal([]byte(document), &value), qt.IsNil)
	prototype := value.Customers[0]
	value.Customers = nil
	for i := range 570 {
		customer := prototype
		customer.Name = prototype.Name + "-" + customerSuffix(i)
		customer.CredentialSHA256 = []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)}
		customer.Parameters = []template.Value{{Name: "rate", Value: 40}, {Name: "weight", Value: 2.25}}
		value.Customers = append(value.Customers, customer)
	}
	data, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	c.Logf("a document of 570 customers has %d bytes", len(data))
	c.Assert(len(data) < template.MaxDocumentBytes/2, qt.IsTrue)
	accepted, faults := template.Accept(data)
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(accepted.Plans, qt.HasLen, 570)
}

// Each process decides by itself whether a published configuration comes into force. Accept must therefore return the same
// result for the same bytes, also for corrupted ones.
func TestAcceptIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(document)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.Byte().Draw(t, "byte")
		}
		first, firstFaults := template.Accept(data)
		second, secondFaults := template.Accept(data)
		if (first == nil) != (second == nil) || firstFaults.Error() != secondFaults.Error() {
			t.Fatalf("Accept returned different results for the same data: %v, %v", firstFaults, secondFaults)
		}
		if (first == nil) != (len(firstFaults) > 0) {
			t.Fatalf("Accept refused without faults, or accepted with faults")
		}
	})
}

func customerSuffix(i int) ident.Customer {
	return ident.Customer(fmt.Sprintf("%03d", i))
}

// TestFaultsHaveAStableOrder guards against faults in random order: the validator returns unknown fields in the order of a
// map.
func TestFaultsHaveAStableOrder(t *testing.T) {
	c := qt.New(t)
	changed := []byte(strings.Replace(document, `"version": 3`, `"version": 3, "zeta": 1, "alpha": 2, "mu": 3, "beta": 4`, 1))
	_, first := template.Accept(changed)
	c.Assert(first, qt.HasLen, 4)
	for range 50 {
		_, again := template.Accept(changed)
		c.Assert(again.Error(), qt.Equals, first.Error())
	}
}
