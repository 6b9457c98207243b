// Package datagram sends and receives small CBOR messages between entries and agents over UDP. Messages may be lost,
// duplicated, reordered or delayed. Each message therefore states the sender's current state or is resent until it is
// answered. The exceptions are PromptSent, which is sent once (the group's next report corrects a loss), CrashUpdate (a loss
// shows in the digests of the next hellos), Statements (each server's next answer states the same) and LimitedSend (a loss
// lets the entries exceed a limit by one request).
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// maxMessageBytes is the largest payload of a UDP datagram over IPv4.
const maxMessageBytes = 65_507

// Message is one message; exactly one field is set. Rank is a report of a rank, not its number.
type Message struct {
	Rank        *RankReport  `cbor:"1,keyasint,omitempty"`
	Order       *Order       `cbor:"2,keyasint,omitempty"`
	Reply       *Reply       `cbor:"3,keyasint,omitempty"`
	Beacon      *Beacon      `cbor:"4,keyasint,omitempty"`
	Subscribe   *Subscribe   `cbor:"5,keyasint,omitempty"`
	GroupReport *GroupReport `cbor:"6,keyasint,omitempty"`
	PromptSent  *PromptSent  `cbor:"7,keyasint,omitempty"`
	Hello       *Hello       `cbor:"8,keyasint,omitempty"`
	// CrashUpdate is sent by an entry to others when its register of crash requests changes, or differs from theirs.
	CrashUpdate *attempt.CrashUpdate `cbor:"9,keyasint,omitempty"`
	Statements  *Statements          `cbor:"10,keyasint,omitempty"`
	LimitedSend *LimitedSend         `cbor:"11,keyasint,omitempty"`

	RevisionQuery  *RevisionQuery  `cbor:"12,keyasint,omitempty"`
	RevisionAnswer *RevisionAnswer `cbor:"13,keyasint,omitempty"`

	TrialRequest *TrialRequest `cbor:"14,keyasint,omitempty"`
	TrialAnswer  *TrialAnswer  `cbor:"15,keyasint,omitempty"`
}

// RankReport carries the status of an agent's rank and its counts of expert choices. The agent sends it to its group's
// leader after each reading of the engine's status: every 25 to 400 ms.
type RankReport struct {
	Group  ident.Group         `cbor:"1,keyasint"`
	Status expert.RankStatus   `cbor:"2,keyasint"`
	Counts expert.ChoiceCounts `cbor:"3,keyasint"`
}

// Order is sent by a group's leader to an agent, which passes the lock-step order to its engine and sends a Reply to the
// leader. An order with a Relay is also passed on to the agents of other ranks.
type Order struct {
	Group    ident.Group          `cbor:"1,keyasint"`
	Rank     ident.Rank           `cbor:"2,keyasint"`
	Sequence uint64               `cbor:"3,keyasint"`
	Order    expert.LockstepOrder `cbor:"4,keyasint"`
	Relay    *expert.Relay        `cbor:"5,keyasint,omitempty"`
}

// Reply is an agent's answer to an Order, with the same group, rank and sequence number.
type Reply struct {
	Group     ident.Group           `cbor:"1,keyasint"`
	Rank      ident.Rank            `cbor:"2,keyasint"`
	Sequence  uint64                `cbor:"3,keyasint"`
	Result    expert.LockstepResult `cbor:"4,keyasint"`
	Status    expert.RankStatus     `cbor:"5,keyasint"`
	HasStatus bool                  `cbor:"6,keyasint"`
	Experts   [][]expert.Expert     `cbor:"7,keyasint,omitempty"`
	// Version is the map version named by an order to prepare a map; 0 for other orders.
	Version uint64 `cbor:"8,keyasint,omitempty"`
}

// Beacon is sent by a group's leader to the group's agents and announces its rank, epoch and fencing number.
type Beacon struct {
	Group ident.Group `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"`
	Fence uint64      `cbor:"3,keyasint"`
	Rank  ident.Rank  `cbor:"4,keyasint"`
}

// Subscribe is sent by an entry to an agent to subscribe to a group's reports. An agent that is not the group's leader
// forwards it to the leader.
type Subscribe struct {
	Group ident.Group `cbor:"1,keyasint"`
	// Entry is the address, as host:port, to which the reports are sent.
	Entry string `cbor:"2,keyasint"`
	// Demand is what callers offer for the group's service at this entry, the greatest rates first.
	Demand []DemandShare `cbor:"3,keyasint,omitempty"`
}

// GroupReport is sent by a group's leader to the subscribed entries a few times a second.
type GroupReport struct {
	Group ident.Group `cbor:"1,keyasint"`
	// Loads has the number of running and waiting requests of each rank.
	Loads []int `cbor:"2,keyasint"`
	// PassMicros is the mean duration of the last passes in microseconds; 0 for an idle group.
	PassMicros int64 `cbor:"3,keyasint"`
	// Skew is the expert load of the most loaded rank divided by the mean over all ranks.
	Skew float64 `cbor:"4,keyasint"`
	// Entries has the addresses of some of the subscribed entries, others in each report.
	Entries []netip.AddrPort `cbor:"5,keyasint"`
	// Loading is true while ranks load expert weights.
	Loading bool `cbor:"6,keyasint,omitempty"`
	// EntryCount is the number of subscribed entries; 0 if Entries has all of them.
	EntryCount int `cbor:"7,keyasint,omitempty"`
	// Slow has the ranks that are slower than usual.
	Slow []RankSlowness `cbor:"8,keyasint,omitempty"`
	// Epoch, Fence and Sequence order the reports of a group. A report that is lower than one received before is outdated.
	Epoch    uint64 `cbor:"9,keyasint,omitempty"`
	Fence    uint64 `cbor:"10,keyasint,omitempty"`
	Sequence uint64 `cbor:"11,keyasint,omitempty"`
	// Demand is the sum of what the subscribed entries state in Subscribe.
	Demand []DemandShare `cbor:"12,keyasint,omitempty"`
}

// RankSlowness is the factor, in percent, by which a rank's work takes longer than usual.
type RankSlowness struct {
	Rank    uint16 `cbor:"1,keyasint"`
	Percent uint16 `cbor:"2,keyasint"`
}

// DemandShare is the demand of one customer at one priority.
type DemandShare struct {
	// Customer is "*" for the sum over customers that are not listed by themselves.
	Customer ident.Customer `cbor:"1,keyasint"`
	Priority int            `cbor:"2,keyasint"`
	// Rate is the number of offered requests per second, Retries that of the offered requests that repeat a refused one.
	Rate    float32 `cbor:"3,keyasint"`
	Retries float32 `cbor:"4,keyasint,omitempty"`
}

// PromptSent is sent by an entry to the other entries when it sends a prompt to a rank, so that they count it before the
// group's next report.
type PromptSent struct {
	Group        ident.Group `cbor:"1,keyasint"`
	Rank         ident.Rank  `cbor:"2,keyasint"`
	PromptTokens int         `cbor:"3,keyasint"`
}

// Hello is sent by an entry to some other entries every few seconds.
type Hello struct {
	// Peers are some of the entries that the sender knows.
	Peers []PeerAge `cbor:"1,keyasint,omitempty"`
	// CrashDigest is the digest of the sender's register of crash requests.
	CrashDigest uint64 `cbor:"2,keyasint"`
	// ConfigurationVersion is the version of the configuration that the sender has in force; 0 for none.
	ConfigurationVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Joining is true if the sender has just started and knows nothing of what others learned.
	Joining bool `cbor:"5,keyasint,omitempty"`
	// Answer is true if the message answers a hello.
	Answer bool `cbor:"3,keyasint,omitempty"`
	// Evacuation is the newest state of evacuations that the sender knows; nil if it knows of none.
	Evacuation *Evacuation `cbor:"6,keyasint,omitempty"`
	// EntryCount is the largest number of entries that the sender, or an entry that it heard of, observed lately, EntryCountAge the
	// time since.
	EntryCount    int           `cbor:"7,keyasint,omitempty"`
	EntryCountAge time.Duration `cbor:"8,keyasint,omitempty"`
	// EntryCountSettled is true unless the sender has just started and cannot have heard of all.
	EntryCountSettled bool `cbor:"9,keyasint,omitempty"`
}

// Evacuation lists the evacuated availability zones as of a position of the store. The state with the greater position
// (era, then revision) is newer.
type Evacuation struct {
	Era      uint64       `cbor:"1,keyasint,omitempty"`
	Revision uint64       `cbor:"2,keyasint"`
	Zones    []ident.Zone `cbor:"3,keyasint,omitempty"`
}

// Statements is sent by an entry to others when what a backend server says of itself changes, and to an entry that is new.
// Entries pass on what is new to them.
type Statements struct {
	Statements []Statement `cbor:"1,keyasint"`
}

// Statement is what a backend server said of itself Age before the message was sent.
type Statement struct {
	Server    attempt.ServerInstance `cbor:"1,keyasint"`
	Statement membership.Statement   `cbor:"2,keyasint"`
	Age       time.Duration          `cbor:"3,keyasint"`
}

// LimitedSend is sent by an entry to all others when it sends a request to a backend server that states a limit of requests.
type LimitedSend struct {
	Server attempt.ServerInstance `cbor:"1,keyasint"`
}

// RevisionQuery is sent by an entry to one that reads the store's revision for others. Without an answer the sender reads it
// itself.
type RevisionQuery struct {
	// Sequence is a number that the sender does not use again.
	Sequence uint64 `cbor:"1,keyasint"`
}

// RevisionAnswer answers the query with the same sequence number.
type RevisionAnswer struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Revision is the store's newest revision according to a read that began after the query arrived.
	Revision uint64 `cbor:"2,keyasint"`
	// Era is the store's era in which it was read.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// TrialRequest is sent by an entry to the owner of a service before it runs a request that has ended several backend servers.
// It is resent until it is answered. One with Ended is not: without it the run excludes others for Lasts.
type TrialRequest struct {
	Service ident.Service `cbor:"1,keyasint"`
	// Number is one that the sender does not use for another run.
	Number uint64 `cbor:"2,keyasint"`
	// Lasts is the time for which the run excludes others.
	Lasts time.Duration `cbor:"3,keyasint,omitempty"`
	// Ended is true if the run is over, Broken if its server did not complete a response.
	Ended  bool `cbor:"4,keyasint,omitempty"`
	Broken bool `cbor:"5,keyasint,omitempty"`
}

// TrialAnswer answers the request with the same number.
type TrialAnswer struct {
	Number uint64 `cbor:"1,keyasint"`
	// Permitted is false while another run is permitted.
	Permitted bool `cbor:"2,keyasint,omitempty"`
}

// PeerAge is the address of an entry and the time since it was last heard.
type PeerAge struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Age     time.Duration  `cbor:"2,keyasint"`
}

// Received is a message with the address of its sender.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Socket sends and receives messages over UDP.
type Socket struct {
	conn *net.UDPConn
	// onError receives the error of each message that cannot be sent, received or decoded.
	onError func(err error)
}

// Listen opens a socket at an IPv4 address and UDP port; port 0 selects a free one. onError is called with the error of
// each message that cannot be sent, received or decoded.
func Listen(ip string, port int, onError func(err error)) (*Socket, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, fmt.Errorf("parse datagram address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Socket{conn: conn, onError: onError}, nil
}

// Close closes the socket, and a running Receive returns.
func (s *Socket) Close() { _ = s.conn.Close() }

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends a message to an address. It reports an error to the function passed to Listen, except after Close.
func (s *Socket) Send(to netip.AddrPort, message Message) {
	data, err := cbor.Marshal(message)
	if err == nil && len(data) > maxMessageBytes {
		err = fmt.Errorf("message of %d bytes exceeds the limit for datagrams", len(data))
	}
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.onError(fmt.Errorf("send message to %s: %w", to, err))
	}
}

// Receive calls handle with each message until the context ends or the socket is closed. It closes the socket when the
// context ends.
func (s *Socket) Receive(ctx context.Context, handle func(Received)) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			s.onError(fmt.Errorf("receive message: %w", err))
			continue
		}
		received := Received{From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		if err := cbor.Unmarshal(buffer[:n], &received.Message); err != nil {
			s.onError(fmt.Errorf("decode message of %d bytes from %s: %w", n, from, err))
			continue
		}
		handle(received)
	}
}
