package node

import (
	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// The kinds of messages. The number of a removed message must not be reused for another one.
const (
	kindDispatch wire.Kind = iota + 1
	kindPayload
	kindReply
	kindRevoke
	kindQuery
	kindResume
	kindCancel
	kindAnswerHead
	kindAnswerData
	kindClaim
	kindClaimAnswer
	kindPeerQuestion
	kindPeerAnswer
	kindReleaseRequest
	kindHandOver
	kindHandOverAck
	kindTicketRequest
	kindTicketReply
	kindKeyQuestion
	kindKeyAnswer
	kindCrashReport
	kindQuarantineNotice
	kindLeaseRequest
	kindLeaseGrant
	kindLeaving
	kindConfigDigest
	kindConfigFetch
	kindConfigManifest
	kindConfigChunksRequest
	kindConfigChunks
	kindLimitRequest
	kindLimitGrant
	kindAccountReport
	// kindExpertEnvelope is the kind of the messages between the agents of a model group.
	kindExpertEnvelope
	kindLogHandOver
	kindLogHandOverAck
	kindClearedNotice
	kindLoadNote
)

// NewCodec returns a codec with all messages between entries and agents registered.
func NewCodec() (*wire.Codec, error) {
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, err
	}
	registerCalls(codec)
	registerKeysAndQuarantine(codec)
	wire.Register[membership.LeaseRequest](codec, kindLeaseRequest)
	wire.Register[membership.LeaseGrant](codec, kindLeaseGrant)
	wire.Register[membership.Leaving](codec, kindLeaving)
	wire.Register[membership.ConfigDigest](codec, kindConfigDigest)
	wire.Register[membership.ConfigFetch](codec, kindConfigFetch)
	wire.Register[membership.ConfigManifest](codec, kindConfigManifest)
	wire.Register[membership.ConfigChunksRequest](codec, kindConfigChunksRequest)
	wire.Register[membership.ConfigChunks](codec, kindConfigChunks)
	wire.Register[admission.LimitRequest](codec, kindLimitRequest)
	wire.Register[admission.LimitGrant](codec, kindLimitGrant)
	wire.Register[admission.AccountReport](codec, kindAccountReport)
	wire.Register[expert.Envelope](codec, kindExpertEnvelope)
	return codec, nil
}

func registerCalls(codec *wire.Codec) {
	wire.Register[attempt.Dispatch](codec, kindDispatch)
	wire.Register[relay.Payload](codec, kindPayload)
	wire.Register[attempt.Reply](codec, kindReply)
	wire.Register[attempt.Revoke](codec, kindRevoke)
	wire.Register[attempt.Query](codec, kindQuery)
	wire.Register[attempt.Resume](codec, kindResume)
	wire.Register[attempt.Cancel](codec, kindCancel)
	wire.Register[relay.AnswerHead](codec, kindAnswerHead)
	wire.Register[relay.AnswerData](codec, kindAnswerData)
	wire.Register[relay.LoadNote](codec, kindLoadNote)
}

// registerKeysAndQuarantine registers the messages about the ownership of run keys and their state, the tickets of
// attempts, and the quarantine of requests that crash backend servers.
func registerKeysAndQuarantine(codec *wire.Codec) {
	wire.Register[attempt.Claim](codec, kindClaim)
	wire.Register[attempt.ClaimAnswer](codec, kindClaimAnswer)
	wire.Register[attempt.PeerQuestion](codec, kindPeerQuestion)
	wire.Register[attempt.PeerAnswer](codec, kindPeerAnswer)
	wire.Register[attempt.ReleaseRequest](codec, kindReleaseRequest)
	wire.Register[attempt.HandOver](codec, kindHandOver)
	wire.Register[attempt.HandOverAck](codec, kindHandOverAck)
	wire.Register[attempt.TicketRequest](codec, kindTicketRequest)
	wire.Register[attempt.TicketReply](codec, kindTicketReply)
	wire.Register[attempt.KeyQuestion](codec, kindKeyQuestion)
	wire.Register[attempt.KeyAnswer](codec, kindKeyAnswer)
	wire.Register[attempt.CrashReport](codec, kindCrashReport)
	wire.Register[attempt.QuarantineNotice](codec, kindQuarantineNotice)
	wire.Register[attempt.LogHandOver](codec, kindLogHandOver)
	wire.Register[attempt.LogHandOverAck](codec, kindLogHandOverAck)
	wire.Register[control.ClearedNotice](codec, kindClearedNotice)
}
