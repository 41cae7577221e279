package tunnel

// DecodeRouting gives the fuzz test the decoder behind the MAC.
func DecodeRouting(options []byte, h *Header) bool { return decodeRouting(options, h) }
