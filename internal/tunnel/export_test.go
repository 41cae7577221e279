package tunnel

// DecodeRouting exports decodeRouting, which only sees options with a valid MAC, to the external tests.
func DecodeRouting(options []byte, h *Header) bool { return decodeRouting(options, h) }
