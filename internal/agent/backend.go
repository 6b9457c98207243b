// Package agent implements the process beside a backend server. All requests reach the backend
// server through it. It runs the requests that the control thread starts and buffers their
// answers, so that entries can resume them.
package agent

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	// doneEvent is the server-sent event that ends a streamed completion.
	doneEvent = "data: [DONE]\n\n"
	// maxResumes is the maximum number of times that a broken stream of the engine is resumed.
	maxResumes = 3
)

// backend runs requests on the backend server beside the agent.
type backend struct {
	engine platform.Engine
	plain  platform.PlainService
	self   ident.Instance
}

// run runs a request, writes its answer and returns the result.
func (b *backend) run(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, answer answerWriter) attempt.RunEnded {
	var err error
	switch {
	case payload.Model && payload.Stream:
		err = b.stream(ctx, dispatch, payload, answer)
	case payload.Model:
		err = b.complete(ctx, dispatch, payload, answer)
	default:
		err = b.callPlain(ctx, dispatch, payload, answer)
	}
	result := attempt.RunEnded{ID: dispatch.ID}
	if err != nil {
		result.Outcome = outcomeOfError(err, dispatch.RunKey)
		return result
	}
	result.Outcome = outcome.Outcome{Kind: outcome.Served}
	result.Answer = answer.job.answer.Answer()
	return result
}

// outcomeOfError returns the outcome of a run that failed with err.
func outcomeOfError(err error, key ident.RunKey) outcome.Outcome {
	if errors.Is(err, relay.ErrAnswerTooLarge) {
		return outcome.InDoubt(outcome.CauseTooLarge, key)
	}
	if errors.Is(err, relay.ErrNoMemory) || errors.Is(err, callermem.ErrFull) {
		return outcome.InDoubt(outcome.CauseMemoryFull, key)
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

func (b *backend) newAnswerHead(dispatch attempt.Dispatch, status int, header []relay.HeaderField) relay.AnswerHead {
	return relay.AnswerHead{ID: dispatch.ID, Agent: b.self, Status: status, Header: header}
}

// backendRequestID returns the request ID that the backend server receives. All attempts of a
// call have the same ID, so that the backend server receives them as the same request.
func backendRequestID(dispatch attempt.Dispatch) ident.Request {
	return ident.Request(string(dispatch.ID.Request) + "." + dispatch.ID.Entry.String())
}

func engineRequest(dispatch attempt.Dispatch, payload *relay.Payload) platform.EngineRequest {
	request := platform.EngineRequest{ID: backendRequestID(dispatch), Priority: payload.Priority, Body: payload.Body}
	if payload.Rank > 0 {
		rank := ident.Rank(payload.Rank - 1)
		request.Rank = &rank
	}
	return request
}

// complete runs a completion that is not streamed.
func (b *backend) complete(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, answer answerWriter) error {
	request := engineRequest(dispatch, payload)
	request.ReadBody = answer.reader(ctx)
	completion, err := b.engine.Call(ctx, request)
	if err != nil {
		return err
	}
	answer.setHead(b.newAnswerHead(dispatch, http.StatusOK, []relay.HeaderField{{Name: "Content-Type", Value: contentTypeJSON}}))
	return answer.adopt(completion.Raw)
}

// stream runs a streamed completion and resumes its stream up to maxResumes times.
func (b *backend) stream(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, answer answerWriter) error {
	request := engineRequest(dispatch, payload)
	stream, err := b.engine.Stream(ctx, request)
	if err != nil {
		return err
	}
	answer.setHead(b.newAnswerHead(dispatch, http.StatusOK, []relay.HeaderField{{Name: "Content-Type", Value: contentTypeEvents}}))
	for resumes := 0; ; resumes++ {
		err = copyStream(ctx, stream, answer)
		if err == nil || errors.Is(err, relay.ErrAnswerTooLarge) || errors.Is(err, relay.ErrNoMemory) || resumes == maxResumes || ctx.Err() != nil {
			return err
		}
		resumed, resumeErr := b.engine.Resume(ctx, request.ID, stream.Offset())
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

// copyStream appends the chunks as server-sent events until the engine marks the end of the
// stream.
func copyStream(ctx context.Context, stream platform.Stream, answer answerWriter) error {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return answer.append(ctx, []byte(doneEvent))
		}
		if err != nil {
			return err
		}
		event := make([]byte, 0, len(chunk.Raw)+8)
		event = append(event, "data: "...)
		event = append(event, chunk.Raw...)
		event = append(event, "\n\n"...)
		if err := answer.append(ctx, event); err != nil {
			return err
		}
	}
}

func (b *backend) callPlain(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, answer answerWriter) error {
	response, err := b.plain.Call(ctx, platform.PlainRequest{
		ID:       backendRequestID(dispatch),
		Key:      payload.Key,
		Method:   payload.Method,
		Path:     payload.Path,
		Header:   relay.Header(payload.Header),
		Body:     payload.Body,
		ReadBody: answer.reader(ctx),
	})
	if err != nil {
		return err
	}
	answer.setHead(b.newAnswerHead(dispatch, response.Status, relay.Fields(response.Header)))
	return answer.adopt(response.Body)
}

// cancel cancels the request at the engine. Plain services have no cancellation.
func (b *backend) cancel(ctx context.Context, dispatch attempt.Dispatch) {
	if b.engine != nil {
		_, _ = b.engine.Cancel(ctx, backendRequestID(dispatch))
	}
}
