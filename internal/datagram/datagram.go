// Package datagram exchanges small messages between the processes of the system over UDP. Messages may
// be lost, doubled or late; all of them either tell a state or are repeated until they are answered.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// maxMessage is the greatest size of a message, in bytes: what UDP over IPv4 carries.
const maxMessage = 65_507

// Message is one message; exactly one field is set.
type Message struct {
	Rank      *RankReport  `cbor:"1,keyasint,omitempty"`
	Order     *Order       `cbor:"2,keyasint,omitempty"`
	Reply     *Reply       `cbor:"3,keyasint,omitempty"`
	Beacon    *Beacon      `cbor:"4,keyasint,omitempty"`
	Subscribe *Subscribe   `cbor:"5,keyasint,omitempty"`
	Group     *GroupReport `cbor:"6,keyasint,omitempty"`
	Sent      *Sent        `cbor:"7,keyasint,omitempty"`
}

// RankReport is what an agent tells its group's leader, some times a second.
type RankReport struct {
	Group  ident.Group         `cbor:"1,keyasint"`
	Status expert.RankStatus   `cbor:"2,keyasint"`
	Counts expert.ChoiceCounts `cbor:"3,keyasint"`
}

// Order asks an agent to give an order to its engine.
type Order struct {
	Group    ident.Group          `cbor:"1,keyasint"`
	Rank     ident.Rank           `cbor:"2,keyasint"`
	Sequence uint64               `cbor:"3,keyasint"`
	Order    expert.LockstepOrder `cbor:"4,keyasint"`
}

// Reply answers an Order.
type Reply struct {
	Group     ident.Group           `cbor:"1,keyasint"`
	Rank      ident.Rank            `cbor:"2,keyasint"`
	Sequence  uint64                `cbor:"3,keyasint"`
	Result    expert.LockstepResult `cbor:"4,keyasint"`
	Status    expert.RankStatus     `cbor:"5,keyasint"`
	HasStatus bool                  `cbor:"6,keyasint"`
	Experts   [][]expert.Expert     `cbor:"7,keyasint,omitempty"`
	// Version is the version that an order to prepare a map named; 0 for other orders.
	Version uint64 `cbor:"8,keyasint,omitempty"`
}

// Beacon tells a group's agents who leads.
type Beacon struct {
	Group ident.Group `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"`
	Fence uint64      `cbor:"3,keyasint"`
	Rank  ident.Rank  `cbor:"4,keyasint"`
}

// Subscribe asks for a group's reports. Agents that do not lead pass it on to the one that does.
type Subscribe struct {
	Group ident.Group `cbor:"1,keyasint"`
	// Entry is the address that wants the reports.
	Entry string `cbor:"2,keyasint"`
}

// GroupReport is what a group's leader tells entries, some times a second.
type GroupReport struct {
	Group ident.Group `cbor:"1,keyasint"`
	// Loads are the requests that run or wait at each rank.
	Loads []int `cbor:"2,keyasint"`
	// PassMicros is the mean time of the last passes in microseconds; 0 for an idle group.
	PassMicros int64 `cbor:"3,keyasint"`
	// Skew is the load of the most loaded rank's experts over the mean.
	Skew float64 `cbor:"4,keyasint"`
	// Entries are the addresses of the entries that subscribe.
	Entries []netip.AddrPort `cbor:"5,keyasint"`
	// Loading is true while ranks load experts.
	Loading bool `cbor:"6,keyasint,omitempty"`
}

// Sent is what an entry tells the others of a prompt that it sent to a rank.
type Sent struct {
	Group        ident.Group `cbor:"1,keyasint"`
	Rank         ident.Rank  `cbor:"2,keyasint"`
	PromptTokens int         `cbor:"3,keyasint"`
}

// Received is a message with its sender.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	// report takes messages that can't be sent or read.
	report func(err error)
}

// Listen opens a socket at the IP address and UDP port. Report takes messages that can't be sent or read.
func Listen(ip string, port int, report func(err error)) (*Socket, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	return &Socket{conn: conn, report: report}, nil
}

// Close closes the socket. Receive ends with it.
func (s *Socket) Close() { _ = s.conn.Close() }

// Address returns the socket's address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends a message to an address.
func (s *Socket) Send(to netip.AddrPort, message Message) {
	data, err := cbor.Marshal(message)
	if err == nil && len(data) > maxMessage {
		err = fmt.Errorf("message of %d bytes", len(data))
	}
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.report(fmt.Errorf("send to %s: %w", to, err))
	}
}

// Receive hands messages to the function until the context ends.
func (s *Socket) Receive(ctx context.Context, take func(Received)) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			s.report(fmt.Errorf("receive: %w", err))
			continue
		}
		received := Received{From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		if err := cbor.Unmarshal(buffer[:n], &received.Message); err != nil {
			s.report(fmt.Errorf("message of %d bytes from %s: %w", n, from, err))
			continue
		}
		take(received)
	}
}
