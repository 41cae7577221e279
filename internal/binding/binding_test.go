package binding_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/binding"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/bindpb"
	"github.com/plantainseam/plantainseam/standin/bindlog"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	a1    = model.HostRef{Host: "a", Incarnation: 1}
	a2    = model.HostRef{Host: "a", Incarnation: 2}
	b1    = model.HostRef{Host: "b", Incarnation: 1}
)

// clock holds the log time of a test.
type clock struct{ now time.Time }

func newLog(limit int) (*bindlog.Log, *clock) {
	c := &clock{now: epoch}
	return bindlog.New(binding.NewTable(limit), func() time.Time { return c.now }), c
}

// serve starts one twirp server per log and returns a client of them and their addresses in the order of the logs.
func serve(t *testing.T, logs ...*bindlog.Log) (*binding.Client, []string) {
	var addresses []string
	for _, l := range logs {
		s := httptest.NewServer(bindpb.NewBindingsServer(binding.NewServer(l)))
		t.Cleanup(s.Close)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	return binding.NewClient(func() []string { return addresses }, "http", http.DefaultClient), addresses
}

func digest(body string) binding.Digest { return binding.Digest(binding.HashKey(0, body)) }

func request(owner model.HostRef, attempt uint64, body string, deadline time.Duration) binding.Request {
	r := binding.Request{Service: 7, Key: "k", Digest: digest(body), Owner: owner, Attempt: attempt}
	if deadline != 0 {
		r.Deadline = epoch.Add(deadline)
	}
	return r
}

// step is one operation at a log time; want and code are the expected outcome and code of a Bind.
type step struct {
	at      time.Duration
	bind    *binding.Request
	finish  *binding.Ref
	release *binding.Ref
	lost    *model.HostRef
	restore bool
	want    binding.Outcome
	code    result.Code
}

func bindStep(owner model.HostRef, attempt uint64, body string, want binding.Outcome) step {
	r := request(owner, attempt, body, 0)
	return step{bind: &r, want: want}
}

func newRef(owner model.HostRef, attempt uint64) *binding.Ref {
	return &binding.Ref{Service: 7, Key: "k", Owner: owner, Attempt: attempt}
}

func bindStepAt(at, deadline time.Duration, owner model.HostRef, want binding.Outcome, code result.Code) step {
	r := request(owner, 1, "x", deadline)
	return step{at: at, bind: &r, want: want, code: code}
}

// Each case is named after the failure that it guards against. The calls go through the Binder over twirp.
func TestTransitions(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"two owners", []step{bindStep(a1, 1, "x", binding.Bound), bindStep(b1, 1, "x", binding.Owned)}},
		{"repeated bind is refused", []step{bindStep(a1, 1, "x", binding.Bound), bindStep(a1, 1, "x", binding.Bound)}},
		{"repeated bind after the finish binds again", []step{bindStep(a1, 1, "x", binding.Bound), {finish: newRef(a1, 1)}, bindStep(a1, 1, "x", binding.Finished)}},
		{"later attempt after the finish binds again", []step{bindStep(a1, 1, "x", binding.Bound), {finish: newRef(a1, 1)}, bindStep(a1, 2, "x", binding.Finished)}},
		{"delayed bind replaces a later attempt", []step{bindStep(a1, 2, "x", binding.Bound), bindStep(a1, 1, "x", binding.Owned), {release: newRef(a1, 1)}, bindStep(b1, 1, "x", binding.Owned)}},
		{"later attempt cannot replace an abandoned one", []step{bindStep(a1, 1, "x", binding.Bound), bindStep(a1, 2, "y", binding.Bound), bindStep(b1, 1, "y", binding.Owned)}},
		{"delayed release frees a later attempt", []step{bindStep(a1, 2, "x", binding.Bound), {release: newRef(a1, 1)}, bindStep(b1, 1, "x", binding.Owned)}},
		{"release of another owner frees the key", []step{bindStep(a1, 1, "x", binding.Bound), {release: newRef(b1, 9)}, bindStep(b1, 1, "x", binding.Owned)}},
		{"release does not free the key", []step{bindStep(a1, 1, "x", binding.Bound), {release: newRef(a1, 1)}, bindStep(b1, 1, "y", binding.Bound)}},
		{"release frees a finished key", []step{bindStep(a1, 1, "x", binding.Bound), {finish: newRef(a1, 1)}, {release: newRef(a1, 1)}, bindStep(b1, 1, "x", binding.Finished)}},
		{"another body joins", []step{bindStep(a1, 1, "x", binding.Bound), bindStep(b1, 1, "y", binding.Mismatch), {finish: newRef(a1, 1)}, bindStep(b1, 1, "y", binding.Mismatch)}},
		{"key of a lost owner is bound again", []step{bindStep(a1, 1, "x", binding.Bound), {lost: &a1}, bindStep(b1, 1, "x", binding.Unknown)}},
		{"loss of an older incarnation hits the newer", []step{bindStep(a2, 1, "x", binding.Bound), {lost: &a1}, bindStep(b1, 1, "x", binding.Owned)}},
		{"loss changes a finished key", []step{bindStep(a1, 1, "x", binding.Bound), {finish: newRef(a1, 1)}, {lost: &a1}, bindStep(b1, 1, "x", binding.Finished)}},
		{"finish of a wrongly lost owner is ignored", []step{bindStep(a1, 1, "x", binding.Bound), {lost: &a1}, {finish: newRef(a1, 1)}, bindStep(b1, 1, "x", binding.Finished)}},
		{"new incarnation takes over its own key", []step{bindStep(a1, 1, "x", binding.Bound), bindStep(a2, 9, "x", binding.Unknown)}},
		{"delayed bind of an ended incarnation blocks a key", []step{{bind: &binding.Request{Service: 7, Key: "other", Owner: a2, Attempt: 1}, want: binding.Bound}, bindStep(a1, 1, "x", binding.Unknown), bindStep(b1, 1, "x", binding.Bound)}},
		{"restore loses a binding", []step{bindStep(a1, 1, "x", binding.Bound), {restore: true}, bindStep(b1, 1, "x", binding.Owned), bindStep(a1, 1, "x", binding.Bound)}},
		{"bind after the deadline", []step{bindStepAt(5*time.Second, 5*time.Second, a1, binding.Expired, result.RequestDeadlinePassed)}},
		{"record that is kept for years", []step{bindStepAt(0, 25*time.Hour, a1, binding.Expired, result.RequestMalformed)}},
		{"expired record: refused as not run", []step{bindStepAt(0, 5*time.Second, a1, binding.Bound, 0), bindStepAt(64*time.Second, 5*time.Second, b1, binding.Owned, 0), bindStepAt(65*time.Second, 5*time.Second, b1, binding.Expired, result.RequestKeyUnchecked)}},
		{"time that goes back revives a record or a deadline", []step{bindStepAt(65*time.Second, 5*time.Second, a1, binding.Expired, result.RequestKeyUnchecked), bindStepAt(0, 5*time.Second, b1, binding.Expired, result.RequestKeyUnchecked)}},
		{"key without a deadline expires early", []step{bindStep(a1, 1, "x", binding.Bound), {at: 24*time.Hour - time.Second, bind: ptr(request(b1, 1, "x", 0)), want: binding.Owned}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newLog(0)
			client, _ := serve(t, l)
			for i, s := range c.steps {
				clock.now = epoch.Add(s.at)
				s.run(NewWithT(t), l, client, fmt.Sprint("step ", i))
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

func (s step) run(g *WithT, l *bindlog.Log, b binding.Binder, name string) {
	ctx := context.Background()
	switch {
	case s.bind != nil:
		answer, err := b.Bind(ctx, *s.bind)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Outcome).To(Equal(s.want), name)
		if s.code != 0 {
			g.Expect(answer.Code).To(Equal(s.code), name)
		}
	case s.finish != nil:
		g.Expect(b.Finish(ctx, *s.finish, result.OK)).To(Succeed())
	case s.release != nil:
		g.Expect(b.Release(ctx, *s.release)).To(Succeed())
	case s.lost != nil:
		_, err := l.Propose(ctx, binding.LostCommand(s.lost.Host, s.lost.Incarnation))
		g.Expect(err).NotTo(HaveOccurred())
	case s.restore:
		g.Expect(l.Restart()).To(Succeed())
	}
}

// Guards against replicas that differ after one of them was restored from a snapshot.
func TestSnapshotIsStable(t *testing.T) {
	g := NewWithT(t)
	first, restored := binding.NewTable(0), binding.NewTable(0)
	for i := range 50 {
		first.Apply(0, epoch, bindCommand(i))
	}
	first.Apply(0, epoch, binding.LostCommand("a", 1))
	for range 2 {
		snapshot, err := first.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(restored.Restore(snapshot)).To(Succeed())
		again, err := restored.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(snapshot))
		for _, table := range []*binding.Table{first, restored} {
			table.Apply(0, epoch.Add(70*time.Second), bindCommand(60))
		}
	}
}

func bindCommand(i int) []byte {
	d := digest("x")
	command, _ := proto.Marshal(&bindpb.Command{Kind: &bindpb.Command_Bind{Bind: &bindpb.BindRequest{
		Service: 7, Key: fmt.Sprint("k", i), Digest: d[:], Host: []string{"a", "b", "c"}[i%3], Incarnation: 1,
		Attempt: 1, DeadlineUnixMs: epoch.Add(time.Duration(i) * time.Second).UnixMilli(),
	}}})
	return command
}

// Guards against a table that grows without bound, evicts a live binding, or stays full after expiry.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	l, clock := newLog(10)
	client, _ := serve(t, l)
	bind := func(n int) binding.Answer {
		r := request(a1, uint64(n), "x", 5*time.Second)
		r.Key = fmt.Sprint("key-", n)
		r.Deadline = clock.now.Add(5 * time.Second)
		answer, err := client.Bind(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
		return answer
	}
	for n := range 10 {
		g.Expect(bind(n).Outcome).To(Equal(binding.Bound))
	}
	full := bind(10)
	g.Expect(full.Outcome).To(Equal(binding.Full))
	g.Expect(full.Code).To(Equal(result.RequestBindingsFull))
	g.Expect(l.Stats()).To(HaveField("Records", 10))
	clock.now = clock.now.Add(66 * time.Second)
	g.Expect(bind(11).Outcome).To(Equal(binding.Bound))
	g.Expect(l.Stats()).To(And(HaveField("Records", 1), HaveField("Expired", uint64(10))))
}

// Guards against a Binder that gives up, or binds twice, when answers are lost or control VMs refuse the command, with
// or without naming the leader.
func TestClientFindsTheLeader(t *testing.T) {
	lost := func(n int) (error, error) {
		if n == 1 {
			return nil, result.Errorf(result.ProposalLost, "answer lost")
		}
		return nil, nil
	}
	notLeader := func(int) (error, error) { return result.Errorf(result.NotLeader, "follower"), nil }
	broken := func(int) (error, error) { return errors.New("no number"), nil }
	for name, others := range map[string]func(int) (error, error){"hint": notLeader, "no hint": broken} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			leader, _ := newLog(0)
			one, _ := newLog(0)
			two, _ := newLog(0)
			leader.FailWith(lost)
			one.FailWith(others)
			two.FailWith(others)
			client, addresses := serve(t, one, two, leader)
			if name == "hint" {
				one.SetLeader(addresses[2])
				two.SetLeader(addresses[2])
			}
			answer, err := client.Bind(context.Background(), request(a1, 1, "x", 0))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Outcome).To(Equal(binding.Bound))
			g.Expect(leader.Stats().Bound).To(Equal(uint64(1)))
			g.Expect(client.Finish(context.Background(), *newRef(a1, 1), result.OK)).To(Succeed())
		})
	}
	g := NewWithT(t)
	l, _ := newLog(0)
	l.FailWith(broken)
	client, _ := serve(t, l)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Bind(ctx, request(a1, 1, "x", 0))
	g.Expect(err).To(HaveOccurred())
	g.Expect(result.CodeOf(err)).To(Equal(result.NoQuorum))
}

// Guards against a damaged snapshot or command that is accepted as valid, or that changes the state.
func TestDamagedInput(t *testing.T) {
	g := NewWithT(t)
	table := binding.NewTable(0)
	bad, err := proto.Marshal(&bindpb.TableSnapshot{Records: []*bindpb.Record{{Key: []byte("short"), State: 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	for _, input := range [][]byte{[]byte("\xff\xff"), bad} {
		g.Expect(result.CodeOf(table.Restore(input))).To(Equal(result.StoreCorrupt))
	}
	for _, input := range [][]byte{nil, []byte("\xff\xff"), []byte("\x0a\x00")} {
		table.Apply(1, epoch, input)
	}
	g.Expect(table.Stats().Records).To(BeZero())
}
