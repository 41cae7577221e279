// Package store keeps the state of replicated logs in checksummed files under one data directory. Every method that
// writes returns only after the data is synced.
package store

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// recordKind is the kind of a record.
type recordKind uint8

const (
	recordSegment  recordKind = 1 // first record of a segment
	recordHard     recordKind = 2
	recordEntry    recordKind = 3
	recordReset    recordKind = 4 // all earlier entries are replaced by a snapshot
	recordSnapshot recordKind = 5 // only record of a snapshot file
)

// A record is a header and a payload. The header holds, in big endian: magic (2 bytes), kind (1), zero (1), payload
// length (4), payload checksum (4), chain (4). The chain is the checksum of the previous record's chain and the
// header's other fields, so a damaged length is noticed, and so is a record that belongs elsewhere.
const (
	recordMagic  = 0x504c
	headerSize   = 16
	chainOffset  = 12
	maxPayload   = 512 << 20 // bytes; bounds a snapshot
	firstInChain = 0         // chain before the first record of a file
)

var (
	// errTorn: the data ends before the record does, and what there is of it is valid as far as it can be checked. An
	// interrupted append leaves this; an acknowledged record is complete.
	errTorn = errors.New("record is incomplete")
	// errDamaged: a complete header or payload fails its check.
	errDamaged = errors.New("record fails its checksum")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to buf and returns the new chain.
func appendRecord(buf []byte, chain uint32, kind recordKind, payload []byte) ([]byte, uint32) {
	var header [headerSize]byte
	binary.BigEndian.PutUint16(header[0:], recordMagic)
	header[2] = byte(kind)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	chain = crc32.Update(chain, castagnoli, header[:chainOffset])
	binary.BigEndian.PutUint32(header[chainOffset:], chain)
	buf = append(buf, header[:]...)
	return append(buf, payload...), chain
}

// record is a decoded record. Payload aliases the input.
type record struct {
	kind    recordKind
	payload []byte
	chain   uint32
	size    int // bytes of header and payload
}

// decodeRecord decodes the record at the start of data.
func decodeRecord(data []byte, chain uint32) (record, error) {
	if len(data) < headerSize {
		return record{}, errTorn
	}
	header := data[:headerSize]
	chain = crc32.Update(chain, castagnoli, header[:chainOffset])
	if chain != binary.BigEndian.Uint32(header[chainOffset:]) {
		return record{}, errDamaged
	}
	length := binary.BigEndian.Uint32(header[4:])
	if binary.BigEndian.Uint16(header) != recordMagic || header[3] != 0 || length > maxPayload {
		return record{}, errDamaged
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return record{}, errTorn
	}
	payload := data[headerSize : headerSize+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[8:]) {
		return record{}, errDamaged
	}
	return record{kind: recordKind(header[2]), payload: payload, chain: chain, size: headerSize + int(length)}, nil
}
