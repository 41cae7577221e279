package declared

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/plantainseam/plantainseam/internal/result"
)

// maxContentBytes bounds what Unpack returns: a declaration of 1,100 addresses has about 200 KB.
const maxContentBytes = 4 << 20

// Pack compresses a declaration for storage and transfer. Every process fetches every declaration whole, and its text shrinks
// to about a tenth.
func Pack(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack declaration: %w", err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("pack declaration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack declaration: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack returns the content of a packed declaration. The error code for damaged input is DeclarationInvalid.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	content, err := io.ReadAll(io.LimitReader(r, maxContentBytes+1))
	if err != nil {
		return nil, result.Errorf(result.DeclarationInvalid, "unpack declaration of %d bytes: %w", len(packed), err)
	}
	if len(content) > maxContentBytes {
		return nil, result.Errorf(result.DeclarationInvalid, "declaration exceeds %d bytes", maxContentBytes)
	}
	return content, nil
}
