package platform

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// endOfStream is the data of the event that marks the end of a streamed answer.
const endOfStream = "[DONE]"

// completionIDPrefix may stand before the request id in an answer's id.
const completionIDPrefix = "cmpl-"

// Faults of completions.
var (
	errForeignAnswer = errors.New("answer belongs to another request")
	errNoChoice      = errors.New("answer does not hold exactly one choice")
	errUnfinished    = errors.New("answer has no finish reason")
)

// completionBody is what is read of a completion and of a chunk of a streamed one.
type completionBody struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// parseCompletion decodes a completion or a chunk and checks that it belongs to the request.
func parseCompletion(raw []byte, id ident.Request) (completionBody, error) {
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return completionBody{}, err
	}
	if strings.TrimPrefix(body.ID, completionIDPrefix) != string(id) {
		return completionBody{}, errForeignAnswer
	}
	if len(body.Choices) != 1 {
		return completionBody{}, errNoChoice
	}
	return body, nil
}

func (b completionBody) usage() Usage {
	if b.Usage == nil {
		return Usage{}
	}
	return *b.Usage
}

// decodeCompletion returns the whole answer to the request.
func decodeCompletion(raw []byte, id ident.Request) (Completion, error) {
	body, err := parseCompletion(raw, id)
	if err != nil {
		return Completion{}, err
	}
	choice := body.Choices[0]
	if choice.FinishReason == "" {
		return Completion{}, errUnfinished
	}
	return Completion{
		ID: id, Text: choice.Text, FinishReason: choice.FinishReason, Usage: body.usage(), Raw: raw,
	}, nil
}

// decodeChunk returns one chunk of the answer to the request.
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
