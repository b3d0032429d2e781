package retrier

import (
	"cmp"
	"slices"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// usedFraction is the fraction of the operators' limits that is used; the margin is needed because the VMs' time
	// windows do not coincide.
	usedFraction = 0.8
	// initialFraction is the fraction of the capacity that is available after a start, because the VM may have used a
	// full budget just before the restart.
	initialFraction = 0.4
)

// Budgets holds this VM's share of the services' retry budgets, which are divided among all VMs.
type Budgets struct {
	// Ratio is the number of retries that the operators allow for each request of a service.
	Ratio float64
	// Burst is the number of additional retries that the operators allow in a window, for all VMs together.
	Burst float64
	// VMs returns the number of VMs that share the burst.
	VMs func() int

	mutex   locker.Mutex
	budgets map[dragonflypass.ServiceID]*Budget
}

// NewBudgets returns budgets from which no retry has been taken.
func NewBudgets() *Budgets {
	return &Budgets{
		mutex: locker.Mutex{Order: locker.Members}, budgets: make(map[dragonflypass.ServiceID]*Budget),
	}
}

// budget returns the budget of the service and sets its limits from the current number of VMs.
func (b *Budgets) budget(id dragonflypass.ServiceID) *Budget {
	capacity := usedFraction * b.Burst / float64(max(1, b.VMs()))
	b.mutex.Lock()
	budget, ok := b.budgets[id]
	if !ok {
		budget = New()
		budget.balance = initialFraction * capacity
		b.budgets[id] = budget
	}
	b.mutex.Unlock()
	budget.setLimits(usedFraction*b.Ratio, capacity)
	return budget
}

// Deposit credits the service's budget with the share of a retry that one request earns.
func (b *Budgets) Deposit(id dragonflypass.ServiceID) { b.budget(id).Deposit() }

// Withdraw takes one retry from the service's budget. It reports false if less than one retry is available.
func (b *Budgets) Withdraw(id dragonflypass.ServiceID) bool { return b.budget(id).Withdraw() }

// Refund returns a retry that was withdrawn from the service's budget and not made.
func (b *Budgets) Refund(id dragonflypass.ServiceID) { b.budget(id).Refund() }

// Balance returns the number of retries available in the service's budget; it may be fractional.
func (b *Budgets) Balance(id dragonflypass.ServiceID) float64 { return b.budget(id).Balance() }

// BudgetState is the retry budget of a service in a state dump.
type BudgetState struct {
	Service dragonflypass.ServiceID
	// Balance is the number of retries available; it may be fractional.
	Balance float64
}

// State returns the budgets, sorted by service.
func (b *Budgets) State() []BudgetState {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	states := make([]BudgetState, 0, len(b.budgets))
	for id, budget := range b.budgets {
		states = append(states, BudgetState{Service: id, Balance: budget.Balance()})
	}
	slices.SortFunc(states, func(x, y BudgetState) int { return cmp.Compare(x.Service, y.Service) })
	return states
}
