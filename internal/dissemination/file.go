package dissemination

import (
	"errors"
	"io/fs"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// FileName is the file under the data directory that holds the newest applied snapshot.
const FileName = "configuration"

// fileMagic starts the file; the last character is the version of the format.
const fileMagic = "PSCONF01"

// Save writes a snapshot and returns after it is synced. The former file stays whole until the new one replaces it.
func Save(dir string, s *model.Snapshot) error {
	body, err := proto.Marshal(ToProto(s))
	if err != nil {
		return result.Errorf(result.Internal, "encode configuration: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if err := durable.WriteChecked(path, fileMagic, body); err != nil {
		return result.Errorf(result.StoreWriteFailed, "write %s: %w", path, err)
	}
	return nil
}

// Load reads the snapshot that Save wrote, or an empty one if there is none. A damaged file yields
// result.StoreCorrupt and is never used.
func Load(dir string) (*model.Snapshot, error) {
	path := filepath.Join(dir, FileName)
	body, err := durable.ReadChecked(path, fileMagic)
	if errors.Is(err, fs.ErrNotExist) {
		return model.NewSnapshot(), nil
	}
	if err != nil {
		return nil, err
	}
	var p configpb.Snapshot
	if err := proto.Unmarshal(body, &p); err != nil {
		return nil, result.Errorf(result.StoreCorrupt, "decode %s: %w", path, err)
	}
	return FromProto(&p)
}
