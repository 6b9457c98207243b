package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/entry"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

const callTimeout = 70 * time.Second

var errTruncatedStream = errors.New("the stream ended without the event [DONE]")

// result is the outcome of a call, with the results of the checks of its response.
type result struct {
	request request
	id      ident.Request
	outcome outcome.Kind
	cause   outcome.Cause
	// truncated is true if the body of a served response could not be read to its end, or if a
	// complete stream has another outcome than served. A stream without its last event is not
	// truncated; its outcome is unknown. mismatched is true if a served response or a complete
	// stream does not contain the answer to this request.
	truncated  bool
	mismatched bool
	latency    time.Duration
}

// sender sends the callers' requests over HTTP to the entries that the balancer picks.
type sender struct {
	client   *http.Client
	balancer *balancer
}

func newSender(b *balancer, sockets network.Network) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: sockets.DialTCP}
	return &sender{client: &http.Client{Transport: transport, Timeout: callTimeout}, balancer: b}
}

// call sends a request to one of the entries and checks the answer.
func (s *sender) call(ctx context.Context, r request) result {
	started := time.Now()
	got := s.send(ctx, r)
	got.request = r
	got.latency = time.Since(started)
	return got
}

func (s *sender) send(ctx context.Context, r request) result {
	target := s.balancer.pick()
	if target == "" {
		return result{outcome: outcome.NotRun, cause: outcome.CauseNotReady}
	}
	message, err := http.NewRequestWithContext(ctx, r.method, "http://"+target+r.path, bytes.NewReader(r.body))
	if err != nil {
		return result{outcome: outcome.NotRun, cause: outcome.CauseBadRequest}
	}
	message.Header.Set("Authorization", "Bearer "+credentialPrefix+string(r.customer))
	message.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		message.Header.Set(entry.HeaderIdempotencyKey, r.key)
	}
	response, err := s.client.Do(message)
	if err != nil {
		return result{outcome: outcome.Unknown, cause: outcome.CauseConnectionLost}
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(r, response)
}

func (s *sender) read(r request, response *http.Response) result {
	got := result{id: ident.Request(response.Header.Get(entry.HeaderRequest))}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		s.readStream(r, response, &got)
		return got
	}
	body, err := io.ReadAll(response.Body)
	got.outcome = kindOf(response.Header.Get(entry.HeaderOutcome))
	got.cause = outcome.Cause(response.Header.Get(entry.HeaderCause))
	if err != nil {
		got.truncated = got.outcome == outcome.Served
		return got
	}
	if got.outcome == outcome.Served {
		got.mismatched = !isAnswerTo(r, body)
	}
	return got
}

func (s *sender) readStream(r request, response *http.Response, got *result) {
	text, err := streamText(response.Body)
	if err != nil {
		got.outcome, got.cause = outcome.Unknown, outcome.CauseBrokenStream
		return
	}
	got.outcome = kindOf(response.Trailer.Get(entry.HeaderOutcome))
	got.truncated = got.outcome != outcome.Served
	got.mismatched = text != expectedText(r)
}

// streamText returns the text of a streamed completion. The event [DONE] must be part of the
// stream.
func streamText(body io.Reader) (string, error) {
	var text strings.Builder
	ended := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		chunk, err := completionText([]byte(data))
		if err != nil {
			return "", err
		}
		text.WriteString(chunk)
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	if !ended {
		return "", errTruncatedStream
	}
	return text.String(), nil
}

// completionAnswer holds the checked fields of a completion.
type completionAnswer struct {
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Text string `json:"text"`
}

func completionText(data []byte) (string, error) {
	var answer completionAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", err
	}
	var text strings.Builder
	for _, choice := range answer.Choices {
		text.WriteString(choice.Text)
	}
	return text.String(), nil
}

// expectedText returns the text that the stand-in of the engine generates for a request.
func expectedText(r request) string {
	var body completionRequest
	if json.Unmarshal(r.body, &body) != nil {
		return ""
	}
	return standin.Answer(body.Model, body.Prompt, body.MaxTokens)
}

// isAnswerTo reports whether the body is the answer to the request.
func isAnswerTo(r request, body []byte) bool {
	if strings.HasSuffix(r.path, "/completions") {
		text, err := completionText(body)
		return err == nil && text == expectedText(r)
	}
	parsed, err := standin.ParseResult(body)
	return err == nil && parsed.Result == standin.Result(r.method+" "+r.path, r.body)
}

// kindOf parses the value of the outcome header; it is Unknown for any other text.
func kindOf(text string) outcome.Kind {
	for _, kind := range []outcome.Kind{outcome.Served, outcome.NotRun, outcome.Unknown} {
		if kind.String() == text {
			return kind
		}
	}
	return outcome.Unknown
}
