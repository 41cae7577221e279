package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/standin/httpcall"
)

// sequential sends n requests one after the other over one connection and returns the mean time of one.
func sequential(b *testing.B, n int, url string, dial func() net.Conn, method string, keyed bool) time.Duration {
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return dial(), nil }}
	defer transport.CloseIdleConnections()
	var total time.Duration
	for i := range n + n/10 {
		req, err := http.NewRequest(method, url, strings.NewReader("x"))
		if err != nil {
			b.Fatal(err)
		}
		if keyed {
			req.Header.Set(gate.HeaderKey, fmt.Sprint("key-", i))
			req.Header.Set(gate.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
		}
		begin := time.Now()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if i >= n/10 { // the first tenth warms the connections up
			total += time.Since(begin)
		}
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %s", resp.StatusCode, resp.Header.Get(gate.HeaderResult))
		}
	}
	return total / time.Duration(n)
}

// tableCost fills a table and returns the heap bytes per record, and the time and the bytes of one bind command.
func tableCost(b *testing.B, keys int) (perKey, perApply, perCommand float64) {
	var before, after runtime.MemStats
	table := binding.NewTable(keys)
	runtime.GC()
	runtime.ReadMemStats(&before)
	at := time.Unix(1_800_000_000, 0)
	digest := make([]byte, binding.HashSize)
	var spent time.Duration
	for i := range keys {
		command, err := proto.Marshal(&bindpb.Command{Kind: &bindpb.Command_Bind{Bind: &bindpb.BindRequest{
			Service: 7, Key: fmt.Sprintf("0193a5c2-%012d", i), Digest: digest, Host: "host", Incarnation: 1,
			Attempt: uint64(i + 1), DeadlineUnixMs: at.Add(time.Minute).UnixMilli(),
		}}})
		if err != nil {
			b.Fatal(err)
		}
		perCommand = float64(len(command))
		begin := time.Now()
		table.Apply(uint64(i+1), at, command)
		spent += time.Since(begin)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if table.Stats().Records != keys {
		b.Fatalf("%d records", table.Stats().Records)
	}
	perKey = float64(after.HeapAlloc-before.HeapAlloc) / float64(keys)
	return perKey, float64(spent.Nanoseconds()) / float64(keys), perCommand
}

func BenchmarkRequestGate(b *testing.B) {
	const n = 3000
	for range b.N {
		c := newCluster(1, 1, plain, nil)
		up := c.nodes["host-0"].upstream
		direct := func() net.Conn {
			conn, err := net.Dial("tcp", strings.TrimPrefix(up.URL, "http://"))
			if err != nil {
				b.Fatal(err)
			}
			return conn
		}
		through := func() net.Conn {
			client, server, err := httpcall.Pair()
			if err != nil {
				b.Fatal(err)
			}
			key := model.FlowKey{Service: serviceID, Caller: netip.MustParseAddrPort(client.LocalAddr().String())}
			c.nodes["host-0"].gate.Serve(c.service, key, server)
			return client
		}
		base := sequential(b, n, up.URL, direct, "GET", false)
		gated := sequential(b, n, up.URL, through, "GET", false)
		keyed := sequential(b, n, up.URL, through, "POST", true)
		b.ReportMetric(float64((gated - base).Nanoseconds()), "ns/request")
		b.ReportMetric(float64((keyed - base).Nanoseconds()), "keyed-ns/request")
		b.ReportMetric(float64(base.Nanoseconds()), "baseline-ns/request")
		perKey, perApply, perCommand := tableCost(b, 180_000)
		b.ReportMetric(perKey, "B/key")
		b.ReportMetric(perApply, "ns/bind-apply")
		b.ReportMetric(perCommand, "B/bind-command")
		c.close()
	}
}
