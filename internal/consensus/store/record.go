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
	recordHard     recordKind = 2 // hard state
	recordEntry    recordKind = 3 // log entry
	recordReset    recordKind = 4 // discards all earlier entries, which a snapshot replaces
	recordSnapshot recordKind = 5 // the only record of a snapshot file
)

// A record is a header and a payload. The header contains, in big endian: magic (2 bytes), kind (1), zero (1), payload
// length (4), payload checksum (4), chain (4). The chain is a checksum over the previous record's chain and the other
// header fields. It detects a damaged length and a record at the wrong position.
const (
	recordMagic  = 0x504c
	headerSize   = 16
	chainOffset  = 12
	maxPayload   = 512 << 20 // bytes; limits the size of a snapshot
	firstInChain = 0         // chain value before the first record of a file
)

var (
	// errTorn is returned when the data ends within a record and the available part passes its checks. An interrupted
	// append leaves such a record; an acknowledged record is complete.
	errTorn = errors.New("record is incomplete")
	// errDamaged is returned when a complete header or payload fails its check.
	errDamaged = errors.New("record fails its checksum")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to buf and returns the extended buffer and the new chain value.
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

// record is a decoded record. payload aliases the input.
type record struct {
	kind    recordKind
	payload []byte
	chain   uint32
	size    int // size of header and payload in bytes
}

// decodeRecord decodes the record at the start of data. chain is the chain value of the previous record.
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
