package attempt

import "github.com/bramleyspool/bramleyspool/internal/ident"

// BudgetConfig bounds the retries and hedged requests of each customer.
type BudgetConfig struct {
	// RetryShare is the number of retries that one served call adds to the budget.
	RetryShare float64
	// RetryBurst is the largest number of retries that the budget can hold.
	RetryBurst float64
	// HedgeShare is the number of hedged requests that one served call adds to the budget.
	HedgeShare float64
	// HedgeBurst is the largest number of hedged requests that the budget can hold.
	HedgeBurst float64
}

// DefaultBudgetConfig allows one retry per 10 served calls and one hedged request per 20.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{RetryShare: 0.1, RetryBurst: 10, HedgeShare: 0.05, HedgeBurst: 5}
}

// budget holds a separate budget for each customer, so that none uses up another's.
type budget struct {
	config  BudgetConfig
	retries map[ident.Customer]float64
	hedges  map[ident.Customer]float64
}

func newBudget(config BudgetConfig) *budget {
	return &budget{config: config, retries: map[ident.Customer]float64{}, hedges: map[ident.Customer]float64{}}
}

func remaining(tokens map[ident.Customer]float64, customer ident.Customer, burst float64) float64 {
	if balance, ok := tokens[customer]; ok {
		return balance
	}
	return burst
}

// addSuccess adds the retries and hedged requests that one served call allows.
func (b *budget) addSuccess(customer ident.Customer) {
	b.retries[customer] = min(b.config.RetryBurst, remaining(b.retries, customer, b.config.RetryBurst)+b.config.RetryShare)
	b.hedges[customer] = min(b.config.HedgeBurst, remaining(b.hedges, customer, b.config.HedgeBurst)+b.config.HedgeShare)
}

func (b *budget) canRetry(customer ident.Customer) bool {
	return remaining(b.retries, customer, b.config.RetryBurst) >= 1
}

func (b *budget) spendRetry(customer ident.Customer) {
	b.retries[customer] = remaining(b.retries, customer, b.config.RetryBurst) - 1
}

func (b *budget) canHedge(customer ident.Customer) bool {
	return remaining(b.hedges, customer, b.config.HedgeBurst) >= 1
}

func (b *budget) spendHedge(customer ident.Customer) {
	b.hedges[customer] = remaining(b.hedges, customer, b.config.HedgeBurst) - 1
}
