package membership

// Statement is what a backend server says about itself in a response. It holds until the next response without it.
type Statement struct {
	// Limited is true if the server limits the requests that it takes. RequestRate is then their number per second, from
	// all entries together.
	Limited     bool    `cbor:"1,keyasint,omitempty"`
	RequestRate float64 `cbor:"2,keyasint,omitempty"`
	// Leaving is true if the server will end and must get no new requests. It holds until the server ends, also if a later
	// response does not say so.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}
