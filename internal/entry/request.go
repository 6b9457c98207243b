package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	// bytesPerToken is the average length of a token of text; it is used to estimate prompts.
	bytesPerToken = 4
	// defaultOutputTokens is the assumed length of an answer if the caller sets no max_tokens.
	defaultOutputTokens = 256
	// maxOutputTokens is the maximum value of max_tokens.
	maxOutputTokens = 1 << 20
)

// completionRequest is the part of a completions body that the entry evaluates.
type completionRequest struct {
	Prompt    string              `json:"prompt"`
	Messages  []completionMessage `json:"messages"`
	MaxTokens *int                `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptText returns the prompt, or the roles and contents of all messages, as one text.
func (c *completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Role)
		text.WriteByte('\n')
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// parseCall converts a call to the event for the control thread and the payload for the agent.
// If the call is refused, it returns the refusal, and otherwise the zero Outcome, whose kind is Open.
func parseCall(r *http.Request, call authenticatedCall, class *template.ClassPlan, body []byte) (control.CallArrived, *relay.Payload, outcome.Outcome) {
	payload := &relay.Payload{
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Header:   selectForwardedHeaders(r.Header),
		Body:     body,
		Model:    class.Kind == template.KindModel,
		Priority: int(class.Priority),
	}
	arrived := control.CallArrived{
		Call: attempt.Call{
			Request:  call.id,
			Customer: call.customer,
			Class:    *class,
			Deadline: time.Now().Add(class.Deadline),
		},
		Retry: r.Header.Get(HeaderRetry) != "",
	}
	if payload.Model {
		if result := parseCompletion(&arrived, payload, body); result.Kind != outcome.Open {
			return arrived, nil, result
		}
	}
	if result := setRunKey(&arrived, payload, r, body); result.Kind != outcome.Open {
		return arrived, nil, result
	}
	arrived.Call.Body = payload.Digest()
	return arrived, payload, outcome.Outcome{}
}

func badRequest(detail string) outcome.Outcome {
	refused := outcome.Refused(outcome.CauseBadRequest)
	refused.Detail = detail
	return refused
}

// parseCompletion sets the token estimates, the hashes of the prompt's blocks and the streaming mode
// of a model call. Routing uses the hashes to find engines that have these blocks in their cache. If the
// call is refused, parseCompletion returns the refusal, and otherwise the zero Outcome.
func parseCompletion(arrived *control.CallArrived, payload *relay.Payload, body []byte) outcome.Outcome {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return badRequest("the body is not a completions request: " + err.Error())
	}
	text := request.promptText()
	if text == "" {
		return badRequest("the body has neither a prompt nor messages")
	}
	arrived.OutputTokens = defaultOutputTokens
	if request.MaxTokens != nil {
		arrived.OutputTokens = *request.MaxTokens
	}
	if arrived.OutputTokens <= 0 || arrived.OutputTokens > maxOutputTokens {
		return badRequest("max_tokens must be from 1 to 1048576")
	}
	arrived.PromptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	arrived.Tokens = arrived.PromptTokens + arrived.OutputTokens
	for _, block := range platform.PrefixBlocks(text) {
		arrived.Blocks = append(arrived.Blocks, routing.Block(block))
	}
	payload.Stream = request.Stream
	return outcome.Outcome{}
}

// setRunKey sets the run key of a request that is not idempotent. It is derived from the caller's
// Idempotency-Key, or else from the body fields that the template names. If the call is refused, it
// returns the refusal, and otherwise the zero Outcome.
func setRunKey(arrived *control.CallArrived, payload *relay.Payload, r *http.Request, body []byte) outcome.Outcome {
	class := &arrived.Call.Class
	if class.Idempotent {
		return outcome.Outcome{}
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, isControl) {
		return badRequest("Idempotency-Key must have at most 256 printable bytes")
	}
	if key == "" && len(class.RunKeyFields) > 0 {
		fromFields, result := runKeyFromFields(class.RunKeyFields, body)
		if result.Kind != outcome.Open {
			return result
		}
		key = fromFields
	}
	if key == "" {
		return outcome.Outcome{}
	}
	payload.Key = key
	arrived.Call.RunKey = ident.NewRunKey(arrived.Call.Customer, class.Service, key)
	return outcome.Outcome{}
}

func isControl(r rune) bool {
	return r < ' ' || r == 0x7f
}

// runKeyFromFields returns a key made of the values of the named fields. Bodies with equal values
// have the same key. If a field is missing or has no value, it returns a refusal, and otherwise the
// zero Outcome.
func runKeyFromFields(names []string, body []byte) (string, outcome.Outcome) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", badRequest("the body is not a JSON object: " + err.Error())
	}
	parts := make([]string, 0, len(names))
	for _, name := range names {
		raw, ok := fields[name]
		if !ok {
			return "", badRequest("the body lacks the field " + name + ", and no Idempotency-Key is given")
		}
		var value any
		if err := json.Unmarshal(raw, &value); err != nil || value == nil {
			return "", badRequest("the field " + name + " has no value, and no Idempotency-Key is given")
		}
		canonical, err := json.Marshal(value)
		if err != nil {
			return "", badRequest("the field " + name + " can't be read")
		}
		parts = append(parts, string(canonical))
	}
	key, err := json.Marshal(parts)
	if err != nil {
		return "", badRequest("the run key fields can't be read")
	}
	return string(key), outcome.Outcome{}
}

// forwardedHeaders are the header fields of a call that are forwarded to backend servers.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

func selectForwardedHeaders(header http.Header) []relay.HeaderField {
	var fields []relay.HeaderField
	for _, name := range forwardedHeaders {
		if value := header.Get(name); value != "" {
			fields = append(fields, relay.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
