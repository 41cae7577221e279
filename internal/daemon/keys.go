package daemon

import (
	"fmt"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// keyRing selects the tunnel keys of the settings that a configuration names. Before any rotation the configuration
// names none, and the first key of the settings signs.
func keyRing(keys []settings.TunnelKey, use model.KeyRing) (*tunnel.KeyRing, error) {
	active := keys[0].ID
	if use.Active != 0 {
		active = uint8(use.Active)
	}
	var current *tunnel.Key
	var others []tunnel.Key
	for _, k := range keys {
		key := tunnel.Key{ID: k.ID, Secret: k.Secret}
		switch {
		case k.ID == active:
			current = &key
		case use.Active == 0 || accepted(use, k.ID):
			others = append(others, key)
		}
	}
	if current == nil {
		return nil, fmt.Errorf("the settings have no tunnel key %d", active)
	}
	return tunnel.NewKeyRing(*current, others...)
}

func accepted(use model.KeyRing, id uint8) bool {
	for _, a := range use.Accepted {
		if uint8(a) == id {
			return true
		}
	}
	return false
}
