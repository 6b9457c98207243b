// Package admission decides at each entry which requests are admitted, queued or refused.
//
// The package holds three state machines without clocks, goroutines or I/O:
//
//   - Controller queues the requests of one entry and shares the slots of each service
//     between customers by weighted max-min fairness;
//   - LimitCoordinator divides the limits of a customer over all entries by leases, so
//     that the sum of all parts never exceeds the limit; the Controller of each entry
//     holds the leases;
//   - Account and AccountCollector count every request by customer, class, outcome and
//     cause.
//
// Controller and LimitCoordinator receive the current time together with each event. The same events at the same times
// produce the same actions.
//
// PassGate is independent of these. It serves lock-step groups: groups of model ranks that run each step together. A pass
// is the fixed number of steps after which each stream sends an event. PassGate predicts how long the passes of a group
// take, and limits the number of streams accordingly. The control package's Dispatcher uses it at entries that send
// requests without agents.
//
// DemandShares decides for such entries which fraction of the requests of each customer and priority is admitted, from a
// service's capacity and the demand that DemandCounter measures at each entry. UsualDemand has the weights of customers.
package admission
