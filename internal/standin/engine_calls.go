package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// fullQueueRetryAfter is the Retry-After of an engine whose queue is full.
const fullQueueRetryAfter = time.Second

// completionChoice is one choice of a completion.
type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// completionBody is the JSON body of a completion or a chunk.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *platform.Usage    `json:"usage,omitempty"`
}

func newCompletionBody(j *job, text string, usage *platform.Usage) completionBody {
	choice := completionChoice{Text: text}
	if usage != nil {
		reason := "length"
		choice.FinishReason = &reason
	}
	return completionBody{
		ID: "cmpl-" + string(j.id), Object: "text_completion", Model: j.request.Model,
		Choices: []completionChoice{choice}, Usage: usage,
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	j, err := e.readJob(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.enqueueOrRefuse(w, j) {
		return
	}
	if j.request.Stream {
		e.writeStream(w, r, j, 0)
		return
	}
	e.writeCompletion(w, r, j)
}

func (e *Engine) readJob(r *http.Request) (*job, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	id := ident.Request(r.Header.Get(platform.HeaderRequestID))
	if id == "" {
		return nil, fmt.Errorf("request has no %s header", platform.HeaderRequestID)
	}
	j := &job{id: id}
	if err := json.Unmarshal(body, &j.request); err != nil {
		return nil, err
	}
	if value := r.Header.Get(platform.HeaderPriority); value != "" {
		if j.priority, err = strconv.Atoi(value); err != nil {
			return nil, err
		}
	}
	j.crashes = e.options.CrashMarker != "" && strings.Contains(string(body), e.options.CrashMarker)
	j.run = Run{
		Request: id, Key: r.Header.Get(platform.HeaderIdempotencyKey),
		Operation: r.Method + " " + r.URL.Path, BodyDigest: xxhash.Sum64(body),
	}
	return j, nil
}

// refusal is the error response for a job that is not accepted.
type refusal struct {
	status int
	detail string
	// retryAfter is sent as Retry-After; 0 sends none.
	retryAfter time.Duration
}

// enqueueOrRefuse queues the job, or writes an error response and returns false.
func (e *Engine) enqueueOrRefuse(w http.ResponseWriter, j *job) bool {
	reason := e.tryEnqueue(j)
	switch {
	case reason == nil:
		return true
	case reason.retryAfter > 0:
		writeRetryLater(w, reason.status, reason.retryAfter, reason.detail)
	default:
		writeError(w, reason.status, reason.detail)
	}
	return false
}

// tryEnqueue queues the job and returns nil, or returns why the job is refused.
func (e *Engine) tryEnqueue(j *job) *refusal {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.refusedIDs[j.id] {
		return &refusal{status: http.StatusConflict, detail: "request was cancelled before it started"}
	}
	if model := e.orders.state.Model; model != "" && model != j.request.Model {
		return &refusal{status: http.StatusNotFound, detail: "model is not loaded"}
	}
	if !e.insertJob(j) {
		return &refusal{status: http.StatusTooManyRequests, detail: "queue is full", retryAfter: fullQueueRetryAfter}
	}
	return nil
}

// progress is a snapshot of a job's state.
type progress struct {
	emitted  int
	ended    bool
	complete bool
	usage    platform.Usage
	changed  chan struct{}
}

func (e *Engine) progress(j *job) progress {
	e.lock.Lock()
	defer e.lock.Unlock()
	return progress{
		emitted: j.emitted, ended: j.ended(), complete: j.emitted == len(j.tokens),
		usage: j.usage, changed: j.changed,
	}
}

// waitProgress waits until the job has emitted more than the given number of tokens or has
// ended. It closes the connection if the boot ends or the client disconnects.
func (e *Engine) waitProgress(r *http.Request, j *job, emitted int) progress {
	for {
		p := e.progress(j)
		if p.emitted > emitted || p.ended {
			return p
		}
		select {
		case <-p.changed:
		case <-j.bootEnded:
			abort()
		case <-r.Context().Done():
			abort()
		}
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, j *job) {
	p := e.waitProgress(r, j, len(j.tokens)-1)
	if !p.complete {
		writeError(w, http.StatusInternalServerError, "request was cancelled")
		return
	}
	writeJSON(w, http.StatusOK, newCompletionBody(j, strings.Join(j.tokens, ""), &p.usage))
}

// writeStream writes one event per token, with the offset as its ID, and then the end mark.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, j *job, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for next := from; next < len(j.tokens); {
		p := e.waitProgress(r, j, next)
		for ; next < p.emitted; next++ {
			writeChunk(w, j, next, p.usage)
		}
		_ = flusher.Flush()
		if p.ended && !p.complete {
			abort()
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, j *job, index int, usage platform.Usage) {
	var last *platform.Usage
	if index == len(j.tokens)-1 {
		last = &usage
	}
	data, err := json.Marshal(newCompletionBody(j, j.tokens[index], last))
	if err != nil {
		panic("invariant: chunk can't be encoded: " + err.Error())
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "query parameter from is not an offset")
		return
	}
	e.lock.Lock()
	j := e.jobs[ident.Request(r.PathValue("id"))]
	e.lock.Unlock()
	if j == nil || from > len(j.tokens) {
		writeError(w, http.StatusNotFound, "stream does not exist")
		return
	}
	e.writeStream(w, r, j, from)
}

// cancelBody is the JSON response to a cancel request.
type cancelBody struct {
	State platform.CancelState `json:"state"`
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.lock.Lock()
	state := e.cancel(ident.Request(r.PathValue("id")))
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, cancelBody{State: state})
}
