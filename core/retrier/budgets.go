package retrier

import (
	"cmp"
	"slices"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// ownPart is the part of what the operators allow that is used, for the windows of all VMs do not coincide.
	ownPart = 0.8
	// firstPart is the part of a VM's reserve that it has when it starts, for it may have spent one before.
	firstPart = 0.4
)

// Budgets keeps this VM's part of the retry budgets of the services, which all VMs share.
type Budgets struct {
	// Ratio is the number of repeats that the operators allow for each request of a service.
	Ratio float64
	// Burst is the number of further repeats that they allow in a window, for all VMs together.
	Burst float64
	// VMs returns the number of VMs that share the slack.
	VMs func() int

	mutex    locker.Mutex
	services map[dragonflypass.ServiceID]*Retrier
}

// NewBudgets returns budgets of which nothing has been spent.
func NewBudgets() *Budgets {
	return &Budgets{
		mutex: locker.Mutex{Order: locker.Members}, services: make(map[dragonflypass.ServiceID]*Retrier),
	}
}

// service returns the budget of the service, with the present part of the slack.
func (b *Budgets) service(id dragonflypass.ServiceID) *Retrier {
	reserve := ownPart * b.Burst / float64(max(1, b.VMs()))
	b.mutex.Lock()
	r, ok := b.services[id]
	if !ok {
		r = New()
		r.saved = firstPart * reserve
		b.services[id] = r
	}
	b.mutex.Unlock()
	r.limit(ownPart*b.Ratio, reserve)
	return r
}

// Deposit adds a request's part to the budget of its service.
func (b *Budgets) Deposit(id dragonflypass.ServiceID) { b.service(id).Deposit() }

// Withdraw takes one repeat from the service's budget and reports whether it had one.
func (b *Budgets) Withdraw(id dragonflypass.ServiceID) bool { return b.service(id).Withdraw() }

// Balance returns the repeats that the service's budget has.
func (b *Budgets) Balance(id dragonflypass.ServiceID) float64 { return b.service(id).Balance() }

// BudgetState is the budget of a service in a dump.
type BudgetState struct {
	Service dragonflypass.ServiceID
	// Saved is the number of repeats that the budget has.
	Saved float64
}

// State returns the budgets by their services.
func (b *Budgets) State() []BudgetState {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	rows := make([]BudgetState, 0, len(b.services))
	for id, r := range b.services {
		rows = append(rows, BudgetState{Service: id, Saved: r.Balance()})
	}
	slices.SortFunc(rows, func(x, y BudgetState) int { return cmp.Compare(x.Service, y.Service) })
	return rows
}
