package generator

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// Execute loads or unloads a model as the order says. It returns ErrDown when the engine has crashed,
// dragonflypass.ErrFenced when the engine is fenced and the order's fencing number is older than the latest one, and
// the error of Weights when the weights cannot be fetched.
func (e *Engine) Execute(order dragonflypass.Order) error {
	if err := e.fetchWeights(order); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.down:
		return ErrDown
	case e.Fenced && uint64(order.Fence) < e.latestFence:
		return dragonflypass.ErrFenced
	}
	e.latestFence = max(e.latestFence, uint64(order.Fence))
	models := slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == order.Model })
	if !order.Unload {
		models = append(models, order.Model)
	}
	e.Models = models
	return nil
}

func (e *Engine) fetchWeights(order dragonflypass.Order) error {
	if order.Unload || e.Weights == nil {
		return nil
	}
	return e.Weights(order.Model)
}

// Loaded returns a copy of the list of loaded models.
func (e *Engine) Loaded() []dragonflypass.ModelID {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.Models)
}

// Fence returns the latest fencing number among the orders that the engine accepted.
func (e *Engine) Fence() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.latestFence
}
