// Package agent is the process beside a backend server: it is the only way to it, runs
// what the control thread lets run, and keeps answers until their callers have them.
package agent

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	endOfEvents       = "data: [DONE]\n\n"
	// maxResumes is how often a broken stream of the engine is resumed.
	maxResumes = 3
)

// backend runs requests on the backend server beside the agent.
type backend struct {
	engine platform.Engine
	plain  platform.PlainService
	self   ident.Instance
}

// run runs one request, fills the execution and returns how it ended.
func (b *backend) run(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, execution *relay.Execution) attempt.RunEnded {
	var err error
	switch {
	case payload.Model && payload.Stream:
		err = b.stream(ctx, dispatch, payload, execution)
	case payload.Model:
		err = b.complete(ctx, dispatch, payload, execution)
	default:
		err = b.callPlain(ctx, dispatch, payload, execution)
	}
	result := attempt.RunEnded{ID: dispatch.ID}
	if err != nil {
		result.Outcome = failure(err, dispatch.RunKey)
		return result
	}
	result.Outcome = outcome.Outcome{Kind: outcome.Served}
	result.Answer = execution.Answer()
	return result
}

// failure returns the outcome of a run that ended with an error.
func failure(err error, key ident.RunKey) outcome.Outcome {
	if errors.Is(err, relay.ErrAnswerTooLarge) {
		return outcome.InDoubt(outcome.CauseTooLarge, key)
	}
	if !platform.MayHaveRun(err) {
		refused := outcome.Refused(outcome.CauseBackendError)
		if platform.KindOf(err) == platform.KindRefused {
			refused.Cause = outcome.CauseBackendsFull
		}
		refused.RetryAfter = platform.RetryAfterOf(err)
		return refused
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.InDoubt(outcome.CauseTimeout, key)
	}
	return outcome.InDoubt(outcome.CauseBackendError, key)
}

func (b *backend) head(dispatch attempt.Dispatch, status int, header []relay.HeaderField) relay.AnswerHead {
	return relay.AnswerHead{ID: dispatch.ID, Agent: b.self, Status: status, Header: header}
}

// engineID names the run at the engine: one run key runs under one id.
func engineID(dispatch attempt.Dispatch) ident.Request {
	return ident.Request(string(dispatch.ID.Request) + "." + dispatch.ID.Entry.String())
}

func engineRequest(dispatch attempt.Dispatch, payload *relay.Payload) platform.EngineRequest {
	request := platform.EngineRequest{ID: engineID(dispatch), Priority: payload.Priority, Body: payload.Body}
	if payload.Rank > 0 {
		rank := ident.Rank(payload.Rank - 1)
		request.Rank = &rank
	}
	return request
}

func (b *backend) complete(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, execution *relay.Execution) error {
	completion, err := b.engine.Call(ctx, engineRequest(dispatch, payload))
	if err != nil {
		return err
	}
	execution.Start(b.head(dispatch, http.StatusOK, []relay.HeaderField{{Name: "Content-Type", Value: contentTypeJSON}}))
	return execution.Append(completion.Raw)
}

func (b *backend) stream(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, execution *relay.Execution) error {
	request := engineRequest(dispatch, payload)
	stream, err := b.engine.Stream(ctx, request)
	if err != nil {
		return err
	}
	execution.Start(b.head(dispatch, http.StatusOK, []relay.HeaderField{{Name: "Content-Type", Value: contentTypeEvents}}))
	for resumes := 0; ; resumes++ {
		err = copyStream(stream, execution)
		if err == nil || errors.Is(err, relay.ErrAnswerTooLarge) || resumes == maxResumes || ctx.Err() != nil {
			return err
		}
		resumed, resumeErr := b.engine.Resume(ctx, request.ID, stream.Offset())
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

// copyStream copies chunks to the execution until the marked end of the stream.
func copyStream(stream platform.Stream, execution *relay.Execution) error {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return execution.Append([]byte(endOfEvents))
		}
		if err != nil {
			return err
		}
		event := make([]byte, 0, len(chunk.Raw)+8)
		event = append(event, "data: "...)
		event = append(event, chunk.Raw...)
		event = append(event, "\n\n"...)
		if err := execution.Append(event); err != nil {
			return err
		}
	}
}

func (b *backend) callPlain(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, execution *relay.Execution) error {
	answer, err := b.plain.Call(ctx, platform.PlainRequest{
		ID:     engineID(dispatch),
		Key:    payload.Key,
		Method: payload.Method,
		Path:   payload.Path,
		Header: relay.Header(payload.Header),
		Body:   payload.Body,
	})
	if err != nil {
		return err
	}
	execution.Start(b.head(dispatch, answer.Status, relay.Fields(answer.Header)))
	return execution.Append(answer.Body)
}

// cancel tells the engine that nobody waits for the request.
func (b *backend) cancel(ctx context.Context, dispatch attempt.Dispatch) {
	if b.engine != nil {
		_, _ = b.engine.Cancel(ctx, engineID(dispatch))
	}
}
