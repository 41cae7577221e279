package store_test

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.etcd.io/bbolt"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/consensus/store"
)

const (
	benchPhase   = 2 * time.Second
	benchCommand = 128 // bytes
)

// appender stores consecutive entries and returns after they are synced.
type appender func(entries []consensus.Entry) error

func fileAppender(b *testing.B) appender {
	l, closeLog := open(b, create(b))
	b.Cleanup(closeLog)
	return func(entries []consensus.Entry) error { return l.Append(nil, entries) }
}

// bboltAppender stores the entries in bbolt, the alternative to the file format: one key per entry and one transaction per
// call.
func bboltAppender(b *testing.B) appender {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "log"), 0o600, nil)
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { _ = db.Close() })
	return func(entries []consensus.Entry) error {
		return db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("entries"))
			for _, e := range entries {
				if err == nil {
					err = bucket.Put(binary.BigEndian.AppendUint64(nil, e.Index), e.Command)
				}
			}
			return err
		})
	}
}

// rate returns the number of entries per second that an appender stores in batches of the given size.
func rate(b *testing.B, a appender, batch int) float64 {
	start := time.Now()
	index := uint64(1)
	for time.Since(start) < benchPhase {
		var entries []consensus.Entry
		for range batch {
			entries = append(entries, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryCommand, Command: make([]byte, benchCommand)})
			index++
		}
		NewWithT(b).Expect(a(entries)).To(Succeed())
	}
	return float64(index) / time.Since(start).Seconds()
}

// BenchmarkAppend compares the file format with bbolt.
func BenchmarkAppend(b *testing.B) {
	for range b.N {
		for _, batch := range []int{1, 64} {
			b.ReportMetric(rate(b, fileAppender(b), batch), fmt.Sprintf("entries/s-batch-%d", batch))
			b.ReportMetric(rate(b, bboltAppender(b), batch), fmt.Sprintf("baseline-bbolt-entries/s-batch-%d", batch))
		}
	}
}

// BenchmarkTwoLogs compares two logs that are synced concurrently with one log that stores the entries of both.
func BenchmarkTwoLogs(b *testing.B) {
	for range b.N {
		path := filepath.Join(b.TempDir(), "data")
		_, err := store.Create(path, "control-1", "catalog", "bindings")
		NewWithT(b).Expect(err).NotTo(HaveOccurred())
		d, err := store.Open(path, "")
		NewWithT(b).Expect(err).NotTo(HaveOccurred())
		var group sync.WaitGroup
		rates := make([]float64, 2)
		for i, name := range []string{"catalog", "bindings"} {
			l, err := d.Log(name)
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			_, err = l.Load()
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			group.Add(1)
			go func() {
				defer group.Done()
				defer l.Close()
				rates[i] = rate(b, func(e []consensus.Entry) error { return l.Append(nil, e) }, 1)
			}()
		}
		group.Wait()
		b.ReportMetric(rates[0]+rates[1], "two-logs-entries/s")
		b.ReportMetric(rate(b, fileAppender(b), 2), "baseline-one-log-batch-2-entries/s")
		NewWithT(b).Expect(d.Close()).To(Succeed())
	}
}
