package generator

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Crash simulates a crash of the engine: it breaks every stream, and calls fail until Restart.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash()
}

// crash takes the engine down and removes its streams. The caller holds the mutex.
func (e *Engine) crash() {
	e.down = true
	e.crashCount++
	for _, s := range e.streams {
		e.removeStream(s)
	}
	e.reports = nil
}

// Restart restarts the engine after a crash, with a new epoch.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = false
	e.epoch++
	e.signal()
}

// Freeze suspends or resumes all progress; connections stay open.
func (e *Engine) Freeze(frozen bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen = frozen
	e.signal()
}

// CrashCount returns the number of crashes.
func (e *Engine) CrashCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashCount
}

// Down reports whether the engine has crashed and not been restarted.
func (e *Engine) Down() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.down
}

// CrashesOn reports whether the prompt makes the engine crash when the request starts.
func (e *Engine) CrashesOn(prompt string) bool { return strings.Contains(prompt, crashMarker) }

// SetExportFailing sets whether the export of KV memory of running streams fails.
func (e *Engine) SetExportFailing(failing bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.exportFailing = failing
}

// SetPrefill sets the actual prefill rate in tokens per second. The rate in the configuration of the relay stays the
// same.
func (e *Engine) SetPrefill(rate float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.PrefillRate = rate
}

// SetReportLag sets the age of the state that Report returns.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ReportLag = lag
}

// Unload simulates the unexpected loss of a model: the engine unloads it without an unload order.
func (e *Engine) Unload(model dragonflypass.ModelID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m dragonflypass.ModelID) bool { return m == model })
}
