package platform

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// endOfStreamData is the data of the event that ends a streamed response.
const endOfStreamData = "[DONE]"

// completionIDPrefix is the optional prefix of the request ID in a response's id field.
const completionIDPrefix = "cmpl-"

// Errors of invalid completions.
var (
	errOtherRequestID = errors.New("response id does not match the request id")
	errChoiceCount    = errors.New("response does not have exactly one choice")
	errNoFinishReason = errors.New("response has no finish reason")
)

// completionBody holds the fields that are read from a completion and from a streamed chunk.
type completionBody struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// parseCompletion decodes a completion or a chunk and checks that it has the request's ID and
// exactly one choice.
func parseCompletion(raw []byte, id ident.Request) (completionBody, error) {
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return completionBody{}, err
	}
	if strings.TrimPrefix(body.ID, completionIDPrefix) != string(id) {
		return completionBody{}, errOtherRequestID
	}
	if len(body.Choices) != 1 {
		return completionBody{}, errChoiceCount
	}
	return body, nil
}

func (b completionBody) usage() Usage {
	if b.Usage == nil {
		return Usage{}
	}
	return *b.Usage
}

// decodeCompletion decodes the response to a request that was not streamed.
func decodeCompletion(raw []byte, id ident.Request) (Completion, error) {
	body, err := parseCompletion(raw, id)
	if err != nil {
		return Completion{}, err
	}
	choice := body.Choices[0]
	if choice.FinishReason == "" {
		return Completion{}, errNoFinishReason
	}
	return Completion{
		ID: id, Text: choice.Text, FinishReason: choice.FinishReason, Usage: body.usage(), Raw: raw,
	}, nil
}

// decodeChunk decodes one chunk of a streamed response.
func decodeChunk(event serverEvent, id ident.Request) (Chunk, error) {
	body, err := parseCompletion(event.Data, id)
	if err != nil {
		return Chunk{}, err
	}
	choice := body.Choices[0]
	return Chunk{
		Offset: event.ID, Text: choice.Text, FinishReason: choice.FinishReason, Usage: body.usage(), Raw: event.Data,
	}, nil
}
