package generator

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Crash ends every stream as a crash of the engine would.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.die()
}

// die is called with the mutex held.
func (e *Engine) die() {
	e.down = true
	e.deaths++
	for _, s := range e.streams {
		e.drop(s)
	}
	e.reports = nil
}

// Restart starts the engine anew after it died.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = false
	e.epoch++
	e.signal()
}

// Freeze stops or resumes all progress while connections stay open.
func (e *Engine) Freeze(frozen bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen = frozen
	e.signal()
}

// CrashCount returns how often the engine died.
func (e *Engine) CrashCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.deaths
}

// Down reports whether the engine has died.
func (e *Engine) Down() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.down
}

// CrashesOn reports whether the prompt makes the engine die.
func (e *Engine) CrashesOn(prompt string) bool { return strings.Contains(prompt, crashWord) }

// SetExportFailing has the engine export no running stream, or export them again.
func (e *Engine) SetExportFailing(silent bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.silent = silent
}

// SetPrefill sets the prompt processing rate in tokens a second, which may differ from the declared one.
func (e *Engine) SetPrefill(rate float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Prefill = rate
}

// SetLag sets the age of the reports.
func (e *Engine) SetLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Lag = lag
}

// Unload has the engine lose a model.
func (e *Engine) Unload(model dragonflypass.ModelID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == model })
}
