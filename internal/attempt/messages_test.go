package attempt_test

import (
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// TestMessagesRoundTrip guards against fields that are lost in the encoding, and against two
// fields of a message with the same number.
func TestMessagesRoundTrip(t *testing.T) {
	roundTrip[attempt.Dispatch](t)
	roundTrip[attempt.Reply](t)
	roundTrip[attempt.Revoke](t)
	roundTrip[attempt.Query](t)
	roundTrip[attempt.Resume](t)
	roundTrip[attempt.Cancel](t)
	roundTrip[attempt.Claim](t)
	roundTrip[attempt.ClaimAnswer](t)
	roundTrip[attempt.PeerQuestion](t)
	roundTrip[attempt.PeerAnswer](t)
	roundTrip[attempt.LogHandOver](t)
	roundTrip[attempt.LogHandOverAck](t)
	roundTrip[attempt.ReleaseRequest](t)
	roundTrip[attempt.HandOver](t)
	roundTrip[attempt.HandOverAck](t)
	roundTrip[attempt.TicketRequest](t)
	roundTrip[attempt.TicketReply](t)
	roundTrip[attempt.KeyQuestion](t)
	roundTrip[attempt.KeyAnswer](t)
	roundTrip[attempt.CrashReport](t)
	roundTrip[attempt.QuarantineNotice](t)
}

func roundTrip[M any](t *testing.T) {
	message := reflect.TypeFor[M]()
	numbers := map[string]bool{}
	for i := range message.NumField() {
		tag := message.Field(i).Tag.Get("cbor")
		number, _, _ := strings.Cut(tag, ",")
		qt.Assert(t, strings.Contains(tag, "keyasint"), qt.IsTrue, qt.Commentf("%s.%s", message, message.Field(i).Name))
		qt.Assert(t, numbers[number], qt.IsFalse, qt.Commentf("%s.%s", message, message.Field(i).Name))
		numbers[number] = true
	}
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.Make[M]().Draw(t, "message")
		data, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received M
		if err := cbor.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(sent, received, cmpopts.EquateEmpty()); difference != "" {
			t.Fatal(difference)
		}
	})
}
