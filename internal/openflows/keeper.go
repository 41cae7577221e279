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

// fileName is the file under the data directory.
const fileName = "flows"

// fileMagic starts the file; the last characters are the version of the format.
const fileMagic = "PSFLOW01"

// writeInterval is the least time between two writes: a flow that opens less than this before a loss of power is not
// remembered. Each write costs three syncs of the disk that the replicated log uses as well.
const writeInterval = time.Second

// Keeper keeps a book on the disk of a control VM.
type Keeper struct {
	Directory string
	Book      *Book
	Logger    log.Logger
}

// Load gives the content of the file to the book. It is to be called before the book is used.
func (k *Keeper) Load(now time.Time) {
	body, err := durable.ReadChecked(filepath.Join(k.Directory, fileName), fileMagic)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var file pb.OpenFlowsFile
	if err == nil {
		err = proto.Unmarshal(body, &file)
	}
	if err != nil {
		_ = k.Logger.Log("event", "flows_unreadable", "code", int(result.StoreCorrupt), "error", err)
		return
	}
	k.Book.loaded = file.GetAgents()
	k.Book.Adopt(now, file.GetAgents())
	_ = k.Logger.Log("event", "flows_remembered", "agents", len(file.GetAgents()), "flows", k.Book.flows)
}

// Run writes the file whenever the book has changed, until ctx is done. Nothing waits for it: a slow disk delays only the file.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	var written uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.Book.Expire(time.Now())
		lists, version := k.Book.lists()
		if version == written {
			continue
		}
		if err := k.write(lists); err != nil {
			_ = k.Logger.Log("event", "flows_not_written", "agents", len(lists), "error", err)
			continue
		}
		written = version
	}
}

func (k *Keeper) write(lists []*pb.OpenFlows) error {
	body, err := proto.Marshal(&pb.OpenFlowsFile{Agents: lists})
	if err != nil {
		return err
	}
	return durable.WriteChecked(filepath.Join(k.Directory, fileName), fileMagic, body)
}
