package assembler

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// newRationer returns a rationer with the limits.
func newRationer(limits rationer.Limits, meter dragonflypass.Meter, logger dragonflypass.Logger) *rationer.Rationer {
	r := rationer.New()
	r.Limits, r.Meter, r.Logger = limits, meter, logger
	return r
}

// newNodeRationer returns the rationer of the callers of a node.
func newNodeRationer(settings *loader.Settings, meter dragonflypass.Meter, logger dragonflypass.Logger) *rationer.Rationer {
	return newRationer(settings.Limits.Rations(), meter, logger)
}

// newRelayRationer returns the rationer of the callers of a relay node.
func newRelayRationer(settings *loader.RelaySettings, meter dragonflypass.Meter, logger dragonflypass.Logger) *rationer.Rationer {
	return newRationer(settings.Limits.Rations(), meter, logger)
}
