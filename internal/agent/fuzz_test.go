package agent

import (
	"bytes"
	"testing"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Guards against a panic or a wrongly decoded sender on a malformed message of a faulty agent that has the tunnel key.
func FuzzSender(f *testing.F) {
	f.Add(append(appendSender(nil, model.HostRef{Host: "u1", Incarnation: 3}), "message"...))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 1, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		ref, message, ok := splitSender(data)
		if !ok {
			return
		}
		if again := append(appendSender(nil, ref), message...); !bytes.Equal(again, data) {
			t.Fatalf("%x reads as %s and %x", data, ref, message)
		}
	})
}
