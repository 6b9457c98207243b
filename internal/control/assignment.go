package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// BackendRequest requests a backend server to send a request to. An Assignment answers it.
type BackendRequest struct {
	// ID identifies the request within the process.
	ID      uint64
	Service ident.Service
	Route   *routing.Route
	// Customer is the customer of the request; "" on public routes.
	Customer ident.Customer
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// Retry is true if the caller repeats a request that was refused.
	Retry bool
	// Arrived is when the request arrived. After Deadline its answer is of no use.
	Arrived, Deadline time.Time
	// PromptTokens is the number of prompt tokens of a request to a model engine.
	PromptTokens int
	// Tried are the IDs of the servers that the request was sent to before.
	Tried []string
	// Reason says how the request counts against the limit on repeats.
	Reason SendReason
	// OtherGroupOnly is true if the stream's server sends no more events: only a server of
	// another group is assigned.
	OtherGroupOnly bool
	// Moved is true if the stream runs at a rank that is slow: only a server that is not slow is assigned, and at once.
	Moved bool
	// Resumed is true for a stream whose first events the caller has received.
	Resumed bool
	// Traits are the fingerprints by which the entry's CrashRegister knows the request and the parts of its prompt; only
	// those of the parts if the register was empty at its arrival.
	Traits []attempt.Fingerprint
	// Trial is the trait for which the request has a permit to run, see attempt.TrialRuns; zero for none.
	Trial attempt.Fingerprint
	// repeatAt is when the request was counted as a repeat.
	repeatAt time.Time
	// overShare is true if the request exceeds the share of its customer and priority, which get the fraction share of such
	// requests. It is decided once, while the service is overloaded.
	overShare, shareKnown bool
	share                 float64
}

// SendReason says why a request is sent.
type SendReason uint8

// The reasons to send a request.
const (
	// SendReasonFirst is the first send of a request.
	SendReasonFirst SendReason = iota
	// SendReasonNotConnected follows a send that reached no server.
	SendReasonNotConnected
	// SendReasonRepeat follows a send that a server rejected or may have run.
	SendReasonRepeat
)

// Assignment answers a BackendRequest with a backend server or a refusal.
type Assignment struct {
	// Request is the ID of the request within the process.
	Request uint64
	// Backend is the assigned server; its ID is "" for a refusal.
	Backend membership.ListedBackend
	// Cause is the reason of a refusal.
	Cause outcome.Cause
	// CausedBy is the customer whose demand is the reason of a refusal; "" if no single one is.
	CausedBy ident.Customer
	// Share is the admitted fraction of such requests, if the request is refused with outcome.CauseOverShare.
	Share float64
	// PromptTokens is the number of prompt tokens of the request.
	PromptTokens int
	// RetryAfter is the time after which the caller of a refused request should retry.
	RetryAfter time.Duration
	// Repeats is the state of the limit on repeats, if the request is refused with outcome.CauseRetryBudget.
	Repeats *attempt.RepeatStatus
	// Quarantined is the fingerprint because of which a request is refused with outcome.CauseQuarantined.
	Quarantined attempt.Fingerprint
	// Trial is the trait for which a request refused with outcome.CauseOnTrial needs a permit to run, TrialLasts the time for
	// which its run excludes others.
	Trial      attempt.Fingerprint
	TrialLasts time.Duration
	// Outage is true if the request is refused because servers are listed but none runs
	// requests at the moment.
	Outage bool
	// Limited is true if a limit of requests applies to the chosen server and other entries must be told of the send. LimitedFor is the
	// time until this entry may send to the first server, if a request is refused since all servers state limits.
	Limited    bool
	LimitedFor time.Duration
	// Suspect is true if the request may have crashed a server. Its end is reported with RecordSuspectEnd.
	Suspect bool
	// Waited is the time from arrival to the decision.
	Waited time.Duration
	// Load is the number of requests at the chosen server. Writers is the estimated number of
	// requests at all ranks of its group, as in admission.GroupPace. Pass is the predicted
	// duration of a pass.
	Load, Writers int
	Pass          time.Duration
	// Mode, PeakPass, Limit and Margin are those of the admission.PassDecision.
	Mode     admission.PassMode
	PeakPass time.Duration
	Limit    int
	Margin   float64
	// ServesLate is true if a full group serves late: the request may wait until its caller leaves. StreamTime is the
	// predicted time of its stream. RoomIn is the time until a group has room again, 0 if that is unknown.
	ServesLate bool
	StreamTime time.Duration
	RoomIn     time.Duration
	// FirstEvent is the predicted time until the rank has processed the prompt.
	FirstEvent time.Duration
	// ReportAge is the age of the group's last GroupReport; negative if there is no recent one.
	ReportAge time.Duration
}
