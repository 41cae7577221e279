package daemon

import (
	"fmt"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/internal/tunnel"
)

// keyRing returns the ring of the tunnel keys that a configuration names, taken from the settings. Before the first
// rotation the configuration names none; the ring then has all keys of the settings and signs with the first one. It
// fails if the settings lack a named key: the VM could not verify its peers after the next step of the rotation.
func keyRing(keys []settings.TunnelKey, use model.KeyRing) (*tunnel.KeyRing, error) {
	if use.Active == 0 {
		return newKeyRing(keys, keys[0].ID)
	}
	var named []settings.TunnelKey
	for _, id := range use.Accepted {
		key, ok := findKey(keys, id)
		if !ok {
			return nil, fmt.Errorf("the settings have no tunnel key %d", id)
		}
		named = append(named, key)
	}
	return newKeyRing(named, uint8(use.Active))
}

func findKey(keys []settings.TunnelKey, id uint32) (settings.TunnelKey, bool) {
	for _, k := range keys {
		if uint32(k.ID) == id {
			return k, true
		}
	}
	return settings.TunnelKey{}, false
}

// newKeyRing returns a ring that signs with the active key and accepts all given keys.
func newKeyRing(keys []settings.TunnelKey, active uint8) (*tunnel.KeyRing, error) {
	var current tunnel.Key
	var others []tunnel.Key
	for _, k := range keys {
		key := tunnel.Key{ID: k.ID, Secret: k.Secret}
		if k.ID == active {
			current = key
		} else {
			others = append(others, key)
		}
	}
	if current.Secret == nil {
		return nil, fmt.Errorf("the active tunnel key %d is not an accepted one", active)
	}
	return tunnel.NewKeyRing(current, others...)
}
