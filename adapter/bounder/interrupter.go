package bounder

import (
	"net/http"
	"sync"
	"time"
)

// Interrupter interrupts the reading of a request body. Its zero value with a controller is ready for use.
type Interrupter struct {
	Controller *http.ResponseController

	mutex       sync.Mutex
	interrupted bool
	ended       bool
}

// SetDeadline sets the time until which the next bytes are awaited, unless the reading was interrupted.
func (i *Interrupter) SetDeadline(deadline time.Time) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.interrupted {
		return nil
	}
	return i.Controller.SetReadDeadline(deadline)
}

// Interrupt ends the reading. It does nothing once End was called: the connection may then serve another request.
func (i *Interrupter) Interrupt() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.ended {
		return
	}
	i.interrupted = true
	_ = i.Controller.SetReadDeadline(time.Unix(1, 0))
}

// End marks the reading as ended.
func (i *Interrupter) End() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ended = true
}
