package expert

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// Guards against placements that change when an order with them is encoded and decoded.
func TestPlacementRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placement := LayerPlacements(rapid.SliceOfN(rapid.SliceOfN(
			rapid.SliceOfN(rapid.Map(rapid.Uint16(), func(n uint16) Expert { return Expert(n) }), 0, 6), 3, 3), 1, 4).Draw(t, "placement"))
		order := LockstepOrder{Kind: LockstepPrepare, Epoch: 1, Placement: placement}
		data, err := cbor.Marshal(order)
		var got LockstepOrder
		if err == nil {
			err = cbor.Unmarshal(data, &got)
		}
		if err != nil || !reflect.DeepEqual(got, order) {
			t.Fatalf("encoded %+v, decoded %+v, error %v", order, got, err)
		}
	})
}

// Data from the network may be truncated or corrupt at any position. Decoding it must return an error, without a panic
// and without a large allocation for a corrupt count. An order without a placement must stay small.
func TestInvalidPlacementsAreRejected(t *testing.T) {
	c := qt.New(t)
	data, err := startPlacement(3, 4, 16).MarshalBinary()
	c.Assert(err, qt.IsNil)
	for end := 1; end < len(data); end++ {
		var got LayerPlacements
		c.Assert(got.UnmarshalBinary(data[:end]), qt.ErrorIs, errInvalidPlacement, qt.Commentf("truncated at %d", end))
	}
	rapid.Check(t, func(t *rapid.T) {
		var got LayerPlacements
		_ = got.UnmarshalBinary(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data"))
	})
	c.Assert(new(LayerPlacements).UnmarshalBinary([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x0f}), qt.ErrorIs, errInvalidPlacement)
	orders := LockstepOrder{Kind: LockstepHold}
	encoded, err := cbor.Marshal(orders)
	c.Assert(err, qt.IsNil)
	c.Assert(len(encoded) < 20, qt.IsTrue)
}
