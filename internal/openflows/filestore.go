package openflows

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/durable"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// fileName is the name of the file in the data directory.
const fileName = "flows"

// fileMagic starts the file; the last characters are the version of the format.
const fileMagic = "PSFLOW01"

// writeInterval is the least time between two writes: flows that open less than this before a power loss are not
// stored. Each write costs three syncs of the disk that the replicated log uses as well.
const writeInterval = time.Second

// FileStore stores a registry on the disk of a control VM.
type FileStore struct {
	Directory string
	Registry  *Registry
	Logger    log.Logger
}

// Load reads the file into the registry. It must be called before the registry is used.
func (s *FileStore) Load(now time.Time) {
	body, err := durable.ReadChecked(filepath.Join(s.Directory, fileName), fileMagic)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var file pb.OpenFlowsFile
	if err == nil {
		err = proto.Unmarshal(body, &file)
	}
	if err != nil {
		_ = s.Logger.Log("event", "flows_unreadable", "code", int(result.StoreCorrupt), "error", err)
		return
	}
	s.Registry.loaded = file.GetAgents()
	s.Registry.MergeLoaded(now, file.GetAgents())
	_ = s.Logger.Log("event", "flows_remembered", "agents", len(file.GetAgents()), "flows", s.Registry.flows)
}

// Run writes the file whenever the registry has changed, until ctx is done. No other work waits for the write, so a
// slow disk delays only the file.
func (s *FileStore) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	var written uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.Registry.Expire(time.Now())
		lists, version := s.Registry.lists()
		if version == written {
			continue
		}
		if err := s.write(lists); err != nil {
			_ = s.Logger.Log("event", "flows_not_written", "agents", len(lists), "error", err)
			continue
		}
		written = version
	}
}

func (s *FileStore) write(lists []*pb.OpenFlows) error {
	body, err := proto.Marshal(&pb.OpenFlowsFile{Agents: lists})
	if err != nil {
		return err
	}
	return durable.WriteChecked(filepath.Join(s.Directory, fileName), fileMagic, body)
}
