package fake

import (
	"time"

	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// NewRationer returns a rationer with limits that no test reaches.
func NewRationer() *rationer.Rationer {
	const many, bytes = 1 << 20, 1 << 40
	r := rationer.New()
	r.Limits = rationer.Limits{
		Bytes: bytes, Bodies: many, ClientBodies: many, Connections: many, ClientConnections: many, Grace: time.Second,
	}
	r.Meter, r.Logger = NewMeter(), Logger{}
	return r
}
