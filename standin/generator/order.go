package generator

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// Execute carries out an order, unless the engine is fenced and the order's number is old, or the weights are not to be had.
func (e *Engine) Execute(order dragonflypass.Order) error {
	if err := e.fetchWeights(order); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.down:
		return ErrDown
	case e.Fenced && uint64(order.Fence) < e.fence:
		return dragonflypass.ErrFenced
	}
	e.fence = max(e.fence, uint64(order.Fence))
	rest := slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == order.Model })
	if !order.Unload {
		rest = append(rest, order.Model)
	}
	e.Models = rest
	return nil
}

func (e *Engine) fetchWeights(order dragonflypass.Order) error {
	if order.Unload || e.Weights == nil {
		return nil
	}
	return e.Weights(order.Model)
}

// Loaded returns the loaded models.
func (e *Engine) Loaded() []dragonflypass.ModelID {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.Models)
}

// Fence returns the newest fencing number that the engine has seen.
func (e *Engine) Fence() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fence
}
