package group

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
	"github.com/plantainseam/plantainseam/internal/declared"
	"github.com/plantainseam/plantainseam/internal/result"
	pb "github.com/plantainseam/plantainseam/rpc/rosterpb"
)

// waitTimeout bounds waits in tests. A passing test does not reach it.
const waitTimeout = time.Minute

// vm is a control VM on a loopback address.
type vm struct {
	address netip.AddrPort
	dir     string
	machine *declared.Machine
	group   *Group
	stop    func()

	tolerated int
	silence   time.Duration
	full      atomic.Bool // the disk refuses every write
}

// fullDisk is a store whose disk refuses writes while full is set.
type fullDisk struct {
	consensus.Store
	full *atomic.Bool
}

var errDiskFull = result.Errorf(result.StoreWriteFailed, "%w", syscall.ENOSPC)

func (d fullDisk) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.Store.Append(hard, entries)
}

func (d fullDisk) Compact(s consensus.Snapshot, firstKept uint64) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.Store.Compact(s, firstKept)
}

func (d fullDisk) Reset(s consensus.Snapshot) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.Store.Reset(s)
}

func newVM(t *testing.T) *vm {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	return &vm{address: address, dir: t.TempDir(), tolerated: 2, silence: 500 * time.Millisecond}
}

// start starts the VM and stops it at the end of the test.
func (v *vm) start(t *testing.T, founder bool, seeds []netip.AddrPort) {
	v.machine = declared.New(nil)
	v.group = New(Config{
		Name: "control", Self: v.address, DataDir: v.dir, Founder: founder, Seeds: seeds, ToleratedLosses: v.tolerated,
		SilenceTimeout: v.silence, StateMachine: v.machine, Logger: log.NewNopLogger(),
		Declared:  func() bool { version, _ := v.machine.Latest(); return version > 0 },
		Controls:  func() []netip.AddrPort { return nil },
		WrapStore: func(s consensus.Store) consensus.Store { return fullDisk{s, &v.full} },
	})
	listener, err := net.Listen("tcp4", v.address.String())
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(pb.GroupPathPrefix, pb.NewGroupServer(v.group))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if transport := v.group.Transport(); transport != nil {
			transport.Handler().ServeHTTP(w, r)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); v.group.Run(ctx) }()
	v.stop = func() {
		cancel()
		_ = server.Close()
		<-done
	}
	t.Cleanup(func() { v.stop() })
}

func (v *vm) declare(version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return v.group.Propose(ctx, version, declared.Command(version, []byte("content")))
}

// allVote returns a function that reports whether each VM knows a leader and is one of n voters.
func allVote(vms []*vm, n int) func() bool {
	return func() bool {
		for _, v := range vms {
			status, ok := v.group.Status()
			if !ok || status.Membership.Voters() != n || status.Leader == "" || !status.Membership.Voter(status.ID) {
				return false
			}
		}
		return true
	}
}

// Five control VMs with three seeds must form one group of five voters. A declaration must survive the loss of two disks right
// after its acknowledgement, and the two machines must become voters again under new identities.
func TestGroupFormsAndSurvivesLostDisks(t *testing.T) {
	g := NewWithT(t)
	var vms []*vm
	var seeds []netip.AddrPort
	for i := range 5 {
		vms = append(vms, newVM(t))
		if i < 3 {
			seeds = append(seeds, vms[i].address)
		}
	}
	for i := range vms {
		vms[len(vms)-1-i].start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[4].declare(7) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
	before, _ := vms[0].group.Status()
	for _, v := range vms[:2] {
		v.stop()
		g.Expect(os.RemoveAll(filepath.Join(v.dir, "group"))).To(Succeed())
		v.start(t, false, seeds)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	for _, v := range vms {
		g.Eventually(func() uint64 { version, _ := v.machine.Latest(); return version }, waitTimeout, 20*time.Millisecond).Should(Equal(uint64(7)))
	}
	after, _ := vms[0].group.Status()
	g.Expect(after.ID).NotTo(Equal(before.ID))
}

// Three control VMs are stopped for good and replaced, each as soon as the one before has a successor that votes; the first of them
// leads the group. Then two disks are lost at once. The group must become whole again and hold the declaration. Guards against
// voters that are gone and raise the quorum: once a successor votes, its predecessor must not.
func TestReplacementsInSeriesBeforeLostDisks(t *testing.T) {
	g := NewWithT(t)
	const silence = 4 * time.Second // longer than a replacement takes, so that several are in progress unless each is whole
	add := func() *vm {
		v := newVM(t)
		v.silence = silence
		return v
	}
	var vms []*vm
	var seeds []netip.AddrPort
	for range 5 {
		vms = append(vms, add())
		seeds = append(seeds, vms[len(vms)-1].address)
	}
	for _, v := range vms {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[0].declare(7) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
	slices.SortStableFunc(vms, func(a, b *vm) int {
		status, _ := a.group.Status()
		other, _ := b.group.Status()
		return cmp.Compare(other.Role, status.Role)
	})
	for range 3 {
		vms[0].stop()
		next := add()
		next.start(t, false, seeds)
		vms = append(vms[1:], next)
		g.Eventually(func() bool {
			status, ok := next.group.Status()
			return ok && status.Membership.Voter(status.ID)
		}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
	}
	for _, v := range vms[:2] {
		v.stop()
		g.Expect(os.RemoveAll(filepath.Join(v.dir, "group"))).To(Succeed())
		v.start(t, false, []netip.AddrPort{vms[2].address, vms[3].address, vms[4].address})
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	for _, v := range vms {
		g.Eventually(func() uint64 { version, _ := v.machine.Latest(); return version }, waitTimeout, 20*time.Millisecond).Should(Equal(uint64(7)))
	}
}

// A control VM that is stopped after its successor has joined must leave the group before its process ends, also if it leads: it may
// not come back, and two more may be lost at once. Here nothing else would remove it within the test.
func TestStoppedVMLeavesTheGroup(t *testing.T) {
	g := NewWithT(t)
	var vms []*vm
	var seeds []netip.AddrPort
	for i := range 6 {
		v := newVM(t)
		v.silence = time.Hour
		vms = append(vms, v)
		if i < 5 {
			seeds = append(seeds, v.address)
		}
	}
	for _, v := range vms[:5] {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms[:5], 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	vms[5].start(t, false, seeds)
	g.Eventually(func() bool {
		status, ok := vms[5].group.Status()
		return ok && len(status.Membership.Members) == 6 && status.Leader != ""
	}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
	time.Sleep(2 * maintainInterval) // the leader has seen that the successor is ready
	leader := slices.IndexFunc(vms, func(v *vm) bool {
		status, _ := v.group.Status()
		return status.Role == consensus.Leader
	})
	gone, _ := vms[leader].group.Status()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	vms[leader].group.Leave(ctx)
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	vms[leader].stop()
	rest := slices.Delete(slices.Clone(vms), leader, leader+1)
	g.Eventually(allVote(rest, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	status, _ := rest[0].group.Status()
	g.Expect(status.Membership.Voter(gone.ID)).To(BeFalse())
}

// Control VMs that start after the group has formed must become voters, and a declaration must then be acknowledged.
func TestLateControlVMsBecomeVoters(t *testing.T) {
	g := NewWithT(t)
	var vms []*vm
	var seeds []netip.AddrPort
	for i := range 3 {
		vms = append(vms, newVM(t))
		seeds = append(seeds, vms[i].address)
	}
	for _, v := range vms {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 3), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	for range 2 {
		v := newVM(t)
		v.start(t, true, seeds)
		vms = append(vms, v)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[0].declare(2) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

// After all processes were killed at once, an acknowledged declaration must be readable again without intervention.
func TestWholeGroupRestarts(t *testing.T) {
	g := NewWithT(t)
	var vms []*vm
	var seeds []netip.AddrPort
	for range 5 {
		v := newVM(t)
		vms = append(vms, v)
		seeds = append(seeds, v.address)
	}
	for _, v := range vms {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[0].declare(3) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
	for _, v := range vms {
		v.stop()
	}
	for _, v := range vms {
		v.start(t, true, seeds) // the settings still mark the VM as a founder
	}
	for _, v := range vms {
		g.Eventually(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if v.group.Read(ctx) != nil {
				return false
			}
			version, _ := v.machine.Latest()
			return version == 3
		}, waitTimeout, 20*time.Millisecond).Should(BeTrue())
	}
}

// declareUntilAcknowledged sends a declaration to one VM after the other, as an operator does, until it is acknowledged or
// the limit has passed. It reports whether it was acknowledged.
func declareUntilAcknowledged(vms []*vm, version uint64, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, v := range vms {
			if v.declare(version) == nil {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// The disks of the control VMs are full for a while each, one after the other and never two at once, that of the leader
// included. Changes must be acknowledged meanwhile, because four of five members can store them, and without delay once the
// last disk has room. (Other operators have seen changes refused to the end of the day.) There are enough changes for
// several snapshots and compactions.
func TestDisksFullOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	const (
		fullFor = 700 * time.Millisecond // longer than an election and than reopenInterval
		ackTime = 5 * time.Second        // the time that operators are promised for an acknowledgement
		// minChanges for each full disk make several snapshots over all five, however slow the machine is.
		minChanges = snapshotEntries/2 + 1
	)
	var vms []*vm
	var seeds []netip.AddrPort
	for range 5 {
		v := newVM(t)
		vms = append(vms, v)
		seeds = append(seeds, v.address)
	}
	for _, v := range vms {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[0].declare(1) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
	version := uint64(1)
	leader := func() *vm {
		for _, v := range vms {
			if status, ok := v.group.Status(); ok && status.Role == consensus.Leader {
				return v
			}
		}
		return nil
	}
	for round := range vms {
		v := vms[round]
		if l := leader(); l != nil && round%2 == 0 {
			v = l
		}
		v.full.Store(true)
		changes := 0
		for end := time.Now().Add(fullFor); time.Now().Before(end) || changes < minChanges; changes++ {
			version++
			g.Expect(declareUntilAcknowledged(vms, version, ackTime)).To(BeTrue(), "declaration %d while disk %d is full", version, round)
		}
		v.full.Store(false)
	}
	g.Expect(version).To(BeNumerically(">", 2*snapshotEntries), "too few changes for snapshots")
	for range 20 {
		version++
		g.Expect(declareUntilAcknowledged(vms, version, ackTime)).To(BeTrue(), "declaration %d after the last disk has room", version)
	}
	g.Eventually(allVote(vms, 5), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	for _, v := range vms {
		g.Eventually(func() uint64 { newest, _ := v.machine.Latest(); return newest }, waitTimeout, 20*time.Millisecond).Should(Equal(version))
	}
}

// A data directory from an interrupted creation holds no data and must not prevent the start of the process.
func TestIncompleteDirectoryIsMadeAgain(t *testing.T) {
	g := NewWithT(t)
	v := newVM(t)
	g.Expect(os.MkdirAll(filepath.Join(v.dir, "group", logName), 0o755)).To(Succeed())
	seeds := []netip.AddrPort{v.address}
	v.tolerated = 0
	v.start(t, true, seeds)
	g.Eventually(func() error { return v.declare(1) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

// A member with damaged files must rejoin under a new identity. It must neither stay out of the group nor vote with the
// remaining files.
func TestDamagedDirectoryJoinsAsNewMember(t *testing.T) {
	g := NewWithT(t)
	var vms []*vm
	var seeds []netip.AddrPort
	for range 3 {
		v := newVM(t)
		v.tolerated = 1
		vms = append(vms, v)
		seeds = append(seeds, v.address)
	}
	for _, v := range vms {
		v.start(t, true, seeds)
	}
	g.Eventually(allVote(vms, 3), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	g.Eventually(func() error { return vms[0].declare(3) }, waitTimeout, 20*time.Millisecond).Should(Succeed())
	before, _ := vms[1].group.Status()
	vms[1].stop()
	segments, err := filepath.Glob(filepath.Join(vms[1].dir, "group", logName, "*.log"))
	g.Expect(err).NotTo(HaveOccurred())
	content, err := os.ReadFile(segments[0])
	g.Expect(err).NotTo(HaveOccurred())
	content[len(content)/2] ^= 1
	g.Expect(os.WriteFile(segments[0], content, 0o600)).To(Succeed())
	vms[1].start(t, false, seeds)
	g.Eventually(allVote(vms, 3), waitTimeout, 20*time.Millisecond).Should(BeTrue())
	after, _ := vms[1].group.Status()
	g.Expect(after.ID).NotTo(Equal(before.ID))
	g.Eventually(func() uint64 { version, _ := vms[1].machine.Latest(); return version }, waitTimeout, 20*time.Millisecond).Should(Equal(uint64(3)))
}
