package attempt

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// ticketValidity is the time for which a ticket can be used.
const ticketValidity = 10 * time.Minute

// ticketParts is the number of parts of a ticket's text form.
const ticketParts = 3

// ticketPrefix separates the keys of tickets from keys that callers choose, which contain no
// control characters.
const ticketPrefix = "\x1eticket\x1e"

// TicketKey returns the run key of a ticket.
func TicketKey(customer ident.Customer, service ident.Service, ticket Ticket) ident.RunKey {
	return ident.NewRunKey(customer, service, fmt.Sprintf("%s%s/%d", ticketPrefix, ticket.Owner, ticket.Number))
}

// String returns the text form VM/INCARNATION/NUMBER that callers receive.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%x/%d", t.Owner.VM, uint64(t.Owner.Incarnation), t.Number)
}

// ParseTicket parses the text form that String returns.
func ParseTicket(text string) (Ticket, error) {
	var ticket Ticket
	parts := strings.Split(text, "/")
	if len(parts) != ticketParts || parts[0] == "" {
		return Ticket{}, fmt.Errorf("ticket %q: want VM/INCARNATION/NUMBER", text)
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("ticket %q: incarnation: %w", text, err)
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("ticket %q: number: %w", text, err)
	}
	ticket.Owner = ident.Instance{VM: ident.VM(parts[0]), Incarnation: ident.Incarnation(incarnation)}
	ticket.Number = number
	return ticket, nil
}

// ticketTable holds the valid tickets that the agent issued.
type ticketTable struct {
	last   uint64
	issued map[uint64]*issuedTicket
}

type issuedTicket struct {
	expires time.Time
}

// ticketKeyMismatch reports whether the dispatch's key differs from its ticket's key, or is a
// ticket's key without the ticket.
func ticketKeyMismatch(dispatch Dispatch) bool {
	if dispatch.Ticket == nil {
		return strings.Contains(string(dispatch.RunKey), ticketPrefix)
	}
	return dispatch.RunKey != TicketKey(dispatch.Customer, dispatch.Service, *dispatch.Ticket)
}

// valid reports whether the ticket was issued by this incarnation of the agent and has not expired.
func (b *ticketTable) valid(now time.Time, self ident.Instance, ticket Ticket) bool {
	issued := b.issued[ticket.Number]
	return ticket.Owner == self && issued != nil && now.Before(issued.expires)
}

func (b *ticketTable) expire(now time.Time) {
	for number, issued := range b.issued {
		if !now.Before(issued.expires) {
			delete(b.issued, number)
		}
	}
}

// issueTicket issues a ticket, or refuses the request.
func (o *Owner) issueTicket(now time.Time, request TicketRequest) {
	reply := TicketReply{Entry: request.Entry, Request: request.Request}
	switch {
	case o.stopping:
		reply.Refused = outcome.Refused(outcome.CauseLeaving)
	case o.services[request.Service] == nil || !o.services[request.Service].owns(o.config.Self.VM):
		reply.Refused = outcome.Refused(outcome.CauseNoRoute)
	case len(o.tickets.issued) >= o.config.MaxKeys:
		reply.Refused = outcome.Refused(outcome.CauseKeysFull)
	default:
		o.tickets.last++
		o.tickets.issued[o.tickets.last] = &issuedTicket{expires: now.Add(ticketValidity)}
		reply.Ticket = Ticket{Owner: o.config.Self, Number: o.tickets.last}
		reply.ValidFor = ticketValidity
	}
	o.act(SendTicket{reply})
}
