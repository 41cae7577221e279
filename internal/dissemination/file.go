package dissemination

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// FileName is the file under the data directory that holds the newest applied snapshot.
const FileName = "configuration"

// fileMagic starts the file; the last character is the version of the format.
const fileMagic = "PSCONF01"

// headerSize is the length of magic and checksum.
const headerSize = len(fileMagic) + 8

// Save writes a snapshot and returns after it is synced. The former file stays whole until the new one replaces it.
func Save(dir string, s *model.Snapshot) error {
	body, err := proto.Marshal(ToProto(s))
	if err != nil {
		return result.Errorf(result.Internal, "encode configuration: %w", err)
	}
	raw := append([]byte(fileMagic), binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body))...)
	raw = append(raw, body...)
	path := filepath.Join(dir, FileName)
	if err := replaceFile(path, raw); err != nil {
		return result.Errorf(result.StoreWriteFailed, "write %s: %w", path, err)
	}
	return nil
}

func replaceFile(path string, raw []byte) error {
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Load reads the snapshot that Save wrote, or an empty one if there is none. A damaged file yields
// result.StoreCorrupt and is never used.
func Load(dir string) (*model.Snapshot, error) {
	path := filepath.Join(dir, FileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return model.NewSnapshot(), nil
	}
	if err != nil {
		return nil, result.Errorf(result.StoreCorrupt, "read %s: %w", path, err)
	}
	if len(raw) < headerSize || string(raw[:len(fileMagic)]) != fileMagic {
		return nil, result.Errorf(result.StoreCorrupt, "%s has no valid header", path)
	}
	body := raw[headerSize:]
	if binary.BigEndian.Uint64(raw[len(fileMagic):]) != xxhash.Sum64(body) {
		return nil, result.Errorf(result.StoreCorrupt, "%s fails its checksum", path)
	}
	var p configpb.Snapshot
	if err := proto.Unmarshal(body, &p); err != nil {
		return nil, result.Errorf(result.StoreCorrupt, "decode %s: %w", path, err)
	}
	return FromProto(&p)
}
