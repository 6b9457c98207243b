package standin

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// Sizes of prompts and responses, in tokens or bytes.
const (
	defaultMaxTokens  = 16
	promptTokenBytes  = 4
	blockPromptTokens = platform.PrefixBlockBytes / promptTokenBytes
)

// completionRequest is the JSON body of a model call.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// TokenBytes is the least length of each token of the response in bytes.
	TokenBytes int `json:"token_bytes"`
}

// Answer returns the whole text that every engine generates for a prompt. A maxTokens of 0
// means 16.
func Answer(model, prompt string, maxTokens int) string {
	return strings.Join(answerTokens(completionRequest{Model: model, Prompt: prompt, MaxTokens: maxTokens}), "")
}

// answerTokens derives the response from the request, so that tests detect a response to
// another request.
func answerTokens(request completionRequest) []string {
	count := request.MaxTokens
	if count <= 0 {
		count = defaultMaxTokens
	}
	seed := xxhash.Sum64String(request.Model + "\x00" + request.Prompt)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = "t" + strconv.FormatUint(hashPair(seed, uint64(i))>>40, 36) + " "
		tokens[i] += strings.Repeat("x", max(request.TokenBytes-len(tokens[i]), 0))
	}
	return tokens
}

func hashPair(seed, index uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], seed)
	binary.LittleEndian.PutUint64(buffer[8:], index)
	return xxhash.Sum64(buffer[:])
}

// job is one model call at the engine.
type job struct {
	id       ident.Request
	priority int
	sequence uint64
	request  completionRequest
	run      Run
	// crashes is true if running the job crashes the engine.
	crashes bool
	// bootEnded is closed when the engine's boot ends.
	bootEnded chan struct{}
	// The fields below are guarded by Engine.lock, except tokens: insertJob sets it, and it is
	// constant afterwards.
	started   bool
	runIndex  int
	tokens    []string
	emitted   int
	usage     platform.Usage
	cancelled bool
	// changed is closed and replaced when a token is emitted or the job ends.
	changed chan struct{}
}

func (j *job) ended() bool { return j.cancelled || j.emitted == len(j.tokens) }

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// compare orders waiting jobs by priority, then by arrival.
func (j *job) compare(other *job) int {
	if j.priority != other.priority {
		return j.priority - other.priority
	}
	if j.sequence < other.sequence {
		return -1
	}
	return 1
}

// insertJob queues a job. It returns false if MaxRunning jobs are running and MaxWaiting or more
// are queued. The queue may exceed MaxWaiting while fewer than MaxRunning jobs are running,
// because queued jobs start only with the next step.
func (e *Engine) insertJob(j *job) bool {
	if len(e.running) >= e.options.MaxRunning && len(e.waiting) >= e.options.MaxWaiting {
		return false
	}
	e.sequence++
	j.sequence = e.sequence
	j.bootEnded = e.bootEnded
	j.changed = make(chan struct{})
	j.tokens = answerTokens(j.request)
	e.jobs[j.id] = j
	position, _ := slices.BinarySearchFunc(e.waiting, j, (*job).compare)
	e.waiting = slices.Insert(e.waiting, position, j)
	e.recordLoad()
	e.startLoop()
	return true
}

// startLoop starts the goroutine that runs steps, unless it is running.
func (e *Engine) startLoop() {
	if e.group != nil {
		e.group.startLoop()
		return
	}
	if e.loopRunning || e.closed {
		return
	}
	e.loopRunning = true
	boot, bootEnded := e.boot, e.bootEnded
	e.loops.Go(func() { e.runSteps(boot, bootEnded) })
}

// runSteps runs steps until no job is left, the next step is not allowed or the boot ends.
func (e *Engine) runSteps(boot uint64, bootEnded <-chan struct{}) {
	for {
		delay, more := e.beginStep(boot)
		if !more || !sleep(delay, bootEnded) {
			return
		}
		e.endStep(boot)
	}
}

// sleep waits for the duration and returns false if done is closed before.
func sleep(duration time.Duration, done <-chan struct{}) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// beginStep starts one step and returns its duration. It returns false if there is no step to
// run.
func (e *Engine) beginStep(boot uint64) (time.Duration, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.boot != boot {
		return 0, false
	}
	if !e.hasJobs() || !e.orders.stepAllowed(time.Now()) {
		e.loopRunning = false
		return 0, false
	}
	step, ok := e.startStep()
	if !ok {
		e.crash()
	}
	return step.delay, ok
}

// canStep reports whether the engine has jobs, and whether it may run the next step.
func (e *Engine) canStep() (busy, allowed bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	return e.hasJobs(), !e.isDown(now) && e.orders.stepAllowed(now)
}

func (e *Engine) hasJobs() bool { return len(e.running)+len(e.waiting) > 0 }

// beginLockStep starts a step of the engine's group, even if the engine has no jobs. It returns
// false if a job crashes the engine.
func (e *Engine) beginLockStep() (startedStep, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.startStep()
}

// startedStep is a step that has started.
type startedStep struct {
	boot       uint64
	number     uint64
	mapVersion uint64
	activeMap  *platform.ExpertMap
	delay      time.Duration
}

// startStep starts waiting jobs and advances the step number. It returns false if a job crashes
// the engine.
func (e *Engine) startStep() (startedStep, bool) {
	uncached := e.startQueuedJobs()
	if slices.ContainsFunc(e.running, func(j *job) bool { return j.crashes }) {
		return startedStep{}, false
	}
	step := startedStep{boot: e.boot}
	step.number, step.mapVersion = e.orders.advanceStep()
	step.activeMap = e.orders.activeMap
	if e.group == nil {
		e.recordMap(step.number, step.mapVersion)
	}
	e.recordLoad()
	step.delay = e.options.StepDelay + time.Duration(uncached)*e.options.PrefillDelay +
		time.Duration(max(0, len(e.running)-1))*e.options.BatchDelay
	return step, true
}

// endStep emits a token for each running job and removes the ended jobs.
func (e *Engine) endStep(boot uint64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.boot != boot {
		return
	}
	for _, j := range e.running {
		e.emitToken(j)
	}
	e.running = slices.DeleteFunc(e.running, (*job).ended)
	e.recordLoad()
}

// recordLockStepMap records the map of a step that all ranks of the group have started.
func (e *Engine) recordLockStepMap(step startedStep) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.boot == step.boot {
		e.recordMap(step.number, step.mapVersion)
	}
}

// recordMap records the step if it uses another map than the step before.
func (e *Engine) recordMap(step, mapVersion uint64) {
	if n := len(e.steps); n > 0 && e.steps[n-1].Boot == e.boot && e.steps[n-1].MapVersion == mapVersion {
		return
	}
	e.steps = append(e.steps, MapChange{Boot: e.boot, Step: step, MapVersion: mapVersion})
}

// startQueuedJobs starts queued jobs up to MaxRunning and returns the number of their uncached
// prompt blocks.
func (e *Engine) startQueuedJobs() int {
	uncached := 0
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		uncached += e.startJob(j)
	}
	return uncached
}

func (e *Engine) startJob(j *job) int {
	j.started = true
	j.run.Boot = e.boot
	j.runIndex = e.runLog.start(j.run)
	blocks := platform.PrefixBlocks(j.request.Prompt)
	hits := e.cache.touch(blocks, time.Now())
	j.usage.PromptTokens = (len(j.request.Prompt) + promptTokenBytes - 1) / promptTokenBytes
	j.usage.CachedTokens = hits * blockPromptTokens
	e.load.uncachedPromptTokens += uint64(j.usage.PromptTokens - j.usage.CachedTokens)
	return len(blocks) - hits
}

// emitToken adds one token to the job's response.
func (e *Engine) emitToken(j *job) {
	seed := xxhash.Sum64String(j.tokens[j.emitted])
	for layer := range e.counts {
		if e.options.Experts > 0 {
			e.counts[layer][e.chooseExpert(layer, hashPair(seed, uint64(layer)))]++
		}
	}
	j.emitted++
	j.usage.CompletionTokens = j.emitted
	e.load.generatedTokens++
	if j.ended() {
		e.finishJob(j, RunFinished)
	}
	j.notify()
}

func (e *Engine) chooseExpert(layer int, tokenHash uint64) int {
	if e.options.ChooseExpert != nil {
		return e.options.ChooseExpert(layer, tokenHash)
	}
	return int(tokenHash % uint64(e.options.Experts))
}

// finishJob records the end of a started job and deletes the oldest ended ones.
func (e *Engine) finishJob(j *job, state RunState) {
	e.runLog.end(j.runIndex, state)
	e.endedIDs = append(e.endedIDs, j.id)
	if len(e.endedIDs) > maxEndedRequests {
		delete(e.jobs, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
}

// cancel stops a job. If the job is unknown or has not started, later requests with its ID are
// refused.
func (e *Engine) cancel(id ident.Request) platform.CancelState {
	j, ok := e.jobs[id]
	if !ok {
		e.refusedIDs[id] = true
		return platform.CancelNotStarted
	}
	if j.ended() {
		return endState(j)
	}
	j.cancelled = true
	defer j.notify()
	if !j.started {
		e.refusedIDs[id] = true
		e.waiting = slices.DeleteFunc(e.waiting, func(other *job) bool { return other == j })
		return platform.CancelNotStarted
	}
	e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
	e.finishJob(j, RunCancelled)
	return platform.CancelStopped
}

func endState(j *job) platform.CancelState {
	switch {
	case !j.started:
		return platform.CancelNotStarted
	case j.cancelled:
		return platform.CancelStopped
	}
	return platform.CancelFinished
}
