package expert

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// MarshalBinary encodes the placement as unsigned varints: the number of layers, the number of ranks, and for each rank
// of each layer the number of experts and the experts. The encoding is compact because the leader sends the placement to
// up to 31 ranks, and the network link of its VM may be slow but must carry these orders within a few passes. It returns an
// error if the layers have different numbers of ranks.
func (p LayerPlacements) MarshalBinary() ([]byte, error) {
	if len(p) == 0 {
		return nil, nil
	}
	data := binary.AppendUvarint(nil, uint64(len(p)))
	data = binary.AppendUvarint(data, uint64(len(p[0])))
	for layer, ranks := range p {
		if len(ranks) != len(p[0]) {
			return nil, fmt.Errorf("layer %d has %d ranks, layer 0 has %d", layer, len(ranks), len(p[0]))
		}
		for _, experts := range ranks {
			data = binary.AppendUvarint(data, uint64(len(experts)))
			for _, expert := range experts {
				data = binary.AppendUvarint(data, uint64(expert))
			}
		}
	}
	return data, nil
}

// encodedBytes returns the length of the encoded placement, for placements that MarshalBinary encodes.
func (p LayerPlacements) encodedBytes() int {
	var number [binary.MaxVarintLen64]byte
	size := 0
	for _, ranks := range p {
		for _, experts := range ranks {
			size += binary.PutUvarint(number[:], uint64(len(experts)))
			for _, expert := range experts {
				size += binary.PutUvarint(number[:], uint64(expert))
			}
		}
	}
	return size
}

// UnmarshalBinary decodes a placement encoded by MarshalBinary. It returns errInvalidPlacement for data that is truncated
// or has a number out of range.
func (p *LayerPlacements) UnmarshalBinary(data []byte) error {
	reader := placementReader{data: data}
	*p = nil
	if len(data) == 0 {
		return nil
	}
	layers, ranks := reader.next(len(data)), reader.next(len(data))
	for range layers {
		held := make([][]Expert, ranks)
		for rank := range held {
			held[rank] = make([]Expert, reader.next(len(reader.data)))
			for i := range held[rank] {
				held[rank][i] = Expert(reader.next(math.MaxUint16))
			}
		}
		if reader.err != nil {
			return reader.err
		}
		*p = append(*p, held)
	}
	return reader.err
}

var errInvalidPlacement = errors.New("encoded placement is truncated or has a number out of range")

// placementReader reads the varints of an encoded placement. After an error it returns only zeros.
type placementReader struct {
	data []byte
	err  error
}

// next returns the next number. It sets err and returns 0 if the data is truncated or the number exceeds limit.
func (r *placementReader) next(limit int) int {
	number, n := binary.Uvarint(r.data)
	if r.err != nil || n <= 0 || number > uint64(limit) {
		r.err = errInvalidPlacement
		return 0
	}
	r.data = r.data[n:]
	return int(number)
}
