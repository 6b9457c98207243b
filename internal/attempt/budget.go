package attempt

import "github.com/bramleyspool/bramleyspool/internal/ident"

// BudgetConfig bounds the retries and hedged requests of each customer.
type BudgetConfig struct {
	// RetryShare is the number of retries that one success allows.
	RetryShare float64
	// RetryBurst is the greatest number of retries that can be saved up.
	RetryBurst float64
	// HedgeShare is the number of hedged requests that one success allows.
	HedgeShare float64
	// HedgeBurst is the greatest number of hedged requests that can be saved up.
	HedgeBurst float64
}

// DefaultBudgetConfig allows a retry for ten successes and a hedged request for twenty.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{RetryShare: 0.1, RetryBurst: 10, HedgeShare: 0.05, HedgeBurst: 5}
}

// budget keeps the customers' retries apart, so that none uses up another's.
type budget struct {
	config  BudgetConfig
	retries map[ident.Customer]float64
	hedges  map[ident.Customer]float64
}

func newBudget(config BudgetConfig) *budget {
	return &budget{config: config, retries: map[ident.Customer]float64{}, hedges: map[ident.Customer]float64{}}
}

func left(tokens map[ident.Customer]float64, customer ident.Customer, burst float64) float64 {
	if saved, ok := tokens[customer]; ok {
		return saved
	}
	return burst
}

// succeed adds what one success allows.
func (b *budget) succeed(customer ident.Customer) {
	b.retries[customer] = min(b.config.RetryBurst, left(b.retries, customer, b.config.RetryBurst)+b.config.RetryShare)
	b.hedges[customer] = min(b.config.HedgeBurst, left(b.hedges, customer, b.config.HedgeBurst)+b.config.HedgeShare)
}

func (b *budget) canRetry(customer ident.Customer) bool {
	return left(b.retries, customer, b.config.RetryBurst) >= 1
}

func (b *budget) retry(customer ident.Customer) {
	b.retries[customer] = left(b.retries, customer, b.config.RetryBurst) - 1
}

func (b *budget) canHedge(customer ident.Customer) bool {
	return left(b.hedges, customer, b.config.HedgeBurst) >= 1
}

func (b *budget) hedge(customer ident.Customer) {
	b.hedges[customer] = left(b.hedges, customer, b.config.HedgeBurst) - 1
}
