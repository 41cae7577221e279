package quorum

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Times of the model.
const (
	modelStep     = 150 * time.Millisecond // between two membership checks
	modelElection = 450 * time.Millisecond // silence after which a member is not active
	modelCatchUp  = 4 * time.Second        // time after which a returned or new control VM must count again
	modelRejoin   = 2 * time.Second        // time without a leader after which a voter asks to join
	modelAsk      = 450 * time.Millisecond // time between two requests to join
)

// modelVM is a control VM of the model.
type modelVM struct {
	id      consensus.MemberID
	address string
	downTo  time.Time // when it runs again
	gone    bool      // stopped for good
	counts  time.Time // until when its last loss counts
	side    int       // of the split
	since   time.Time // start of the current data directory
	heard   time.Time // last contact with a leader
	asked   time.Time
	planner Planner
	contact map[consensus.MemberID]time.Time // as leader: last response of each member
	match   map[consensus.MemberID]bool      // as leader: members that confirmed entries
}

// model plays the membership of a group: who runs, who reaches whom, who leads, and what the leader's planner changes. The log
// itself is abstracted: a change commits if a quorum of the new membership is reachable.
type model struct {
	t          *rapid.T
	tolerated  int
	now        time.Time
	vms        []*modelVM
	membership consensus.Membership
	leader     *modelVM
	electAt    time.Time
	joined     int       // number of VMs so far, for identities
	splitTo    time.Time // end of the split
	deposed    time.Time // when a leader last stepped down without a loss
	calmAt     time.Time // when nothing counts as lost any more
	trace      []string
}

// TestMain fixes the seed, so that runs are repeatable. -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func newModel(t *rapid.T, tolerated int) *model {
	m := &model{t: t, tolerated: tolerated, now: time.Unix(1_000_000, 0)}
	for range 2*tolerated + 1 {
		vm := m.add(m.now)
		m.membership.Members = append(m.membership.Members, consensus.Member{ID: vm.id, Address: vm.address})
	}
	m.leader = m.vms[0]
	m.lead(m.leader)
	return m
}

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7.2f ", m.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// add starts a new control VM with an empty disk at the given time.
func (m *model) add(at time.Time) *modelVM {
	m.joined++
	vm := &modelVM{
		id: consensus.MemberID(fmt.Sprintf("vm-%d", m.joined)), address: fmt.Sprintf("address-%d", m.joined), downTo: at, since: at, heard: at,
		planner: Planner{ToleratedLosses: m.tolerated, SilenceTimeout: modelCatchUp},
	}
	m.vms = append(m.vms, vm)
	return vm
}

func (m *model) up(vm *modelVM) bool { return !vm.gone && !m.now.Before(vm.downTo) }

func (m *model) split() bool { return m.now.Before(m.splitTo) }

func (m *model) reach(a, b *modelVM) bool {
	return m.up(a) && m.up(b) && (!m.split() || a.side == b.side)
}

func (m *model) find(id consensus.MemberID) *modelVM {
	for _, vm := range m.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// reachableVoters returns the number of voters of a membership that vm reaches, itself included.
func (m *model) reachableVoters(vm *modelVM, membership consensus.Membership) int {
	n := 0
	for _, member := range membership.Members {
		if other := m.find(member.ID); !member.Learner && other != nil && m.reach(vm, other) {
			n++
		}
	}
	return n
}

func (m *model) lead(vm *modelVM) {
	m.leader = vm
	vm.contact, vm.match = map[consensus.MemberID]time.Time{}, map[consensus.MemberID]bool{}
	vm.planner.Follow()
	vm.planner.Lead(m.now)
	m.note("%s leads", vm.id)
}

// elect replaces a leader that is down or has lost its quorum.
func (m *model) elect() {
	if l := m.leader; l != nil && m.up(l) && m.membership.Voter(l.id) && m.reachableVoters(l, m.membership) >= m.membership.Quorum() {
		m.electAt = m.now.Add(modelElection)
		return
	}
	if m.leader != nil {
		m.leader.planner.Follow()
		m.leader = nil
	}
	if m.now.Before(m.electAt) {
		return
	}
	var able []*modelVM
	for _, member := range m.membership.Members {
		vm := m.find(member.ID)
		if !member.Learner && vm != nil && m.up(vm) && m.reachableVoters(vm, m.membership) >= m.membership.Quorum() {
			able = append(able, vm)
		}
	}
	if len(able) > 0 {
		m.lead(rapid.SampledFrom(able).Draw(m.t, "leader"))
	}
}

// status is the state of the group as its leader sees it.
func (m *model) status() consensus.Status {
	l := m.leader
	s := consensus.Status{ID: l.id, Role: consensus.Leader, Membership: m.membership}
	for _, member := range m.membership.Members {
		if member.ID == l.id {
			continue
		}
		if vm := m.find(member.ID); vm != nil && m.reach(l, vm) {
			if at, known := l.contact[member.ID]; known && at.Before(m.now) {
				l.match[member.ID] = true
			}
			l.contact[member.ID] = m.now
			vm.heard = m.now
		}
		if _, known := l.contact[member.ID]; !known {
			l.contact[member.ID] = m.now // a new peer counts as active
		}
		s.Progress = append(s.Progress, consensus.MemberProgress{
			ID: member.ID, Active: m.now.Sub(l.contact[member.ID]) < modelElection, CaughtUp: l.match[member.ID],
		})
	}
	return s
}

// ask sends the requests to join of all VMs that need to.
func (m *model) ask() {
	for _, vm := range m.vms {
		if vm == m.leader || !m.reach(vm, m.leader) || m.now.Sub(vm.asked) < modelAsk {
			continue
		}
		if !m.membership.Voter(vm.id) && (vm.since.Equal(vm.heard) || m.now.Sub(vm.heard) >= modelRejoin) {
			vm.asked = m.now
			if _, known := m.membership.Find(vm.id); !known {
				m.leader.planner.Join(m.now, consensus.Member{ID: vm.id, Address: vm.address})
			}
		}
	}
}

// step advances the model by one membership check. The leader makes changes until none is left, as package group does.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	m.elect()
	if m.leader == nil {
		return
	}
	m.status()
	m.ask()
	for m.change() {
	}
}

// change makes the next change that the leader plans and reports whether there was one.
func (m *model) change() bool {
	change, why := m.leader.planner.Next(m.now, m.status())
	if change == nil {
		return false
	}
	next := after(m.membership, *change)
	if m.reachableVoters(m.leader, next) < next.Quorum() {
		return false // the leader refuses it, or it does not commit
	}
	m.note("%s: %d %s (%s)", m.leader.id, change.Kind, change.ID, why)
	m.membership = next
	if q := m.membership.Quorum(); m.membership.Voters() >= 2*m.tolerated && q <= m.tolerated {
		m.fail("a quorum of %d does not outlive %d lost disks", q, m.tolerated)
	}
	return true
}

func after(m consensus.Membership, change consensus.Change) consensus.Membership {
	var next consensus.Membership
	for _, member := range m.Members {
		if member.ID == change.ID {
			if change.Kind != consensus.Promote {
				continue
			}
			member.Learner = false
		}
		next.Members = append(next.Members, member)
	}
	if change.Kind == consensus.AddLearner {
		next.Members = append(next.Members, consensus.Member{ID: change.ID, Name: change.Name, Address: change.Address, Learner: true})
	}
	return next
}

// lost returns the number of VMs whose loss counts.
func (m *model) lost() int {
	n := 0
	for _, vm := range m.vms {
		if m.now.Before(vm.counts) {
			n++
		}
	}
	return n
}

// lose notes the loss of a VM that counts until the given time, and until the VM has had time to catch up after a split.
func (m *model) lose(vm *modelVM, until time.Time) {
	if healed := m.splitTo.Add(modelCatchUp); m.split() && until.Before(healed) {
		until = healed
	}
	vm.counts = until
	m.calm(until)
}

func (m *model) calm(at time.Time) {
	if at.After(m.calmAt) {
		m.calmAt = at
	}
}

// leave tells the leader that vm stops, as package group does, and reports whether one heard it.
func (m *model) leave(vm *modelVM) bool {
	if m.leader == vm {
		for _, member := range m.membership.Members {
			if other := m.find(member.ID); other != vm && !member.Learner && m.reach(vm, other) {
				m.lead(other)
				break
			}
		}
	}
	if m.leader == nil || m.leader == vm || !m.reach(vm, m.leader) {
		return false
	}
	m.leader.planner.Leave(m.now, vm.id, m.status())
	m.step()
	m.step()
	return true
}

// event makes one random event that the tolerated losses allow.
func (m *model) event() {
	var running []*modelVM
	for _, vm := range m.vms {
		if m.up(vm) && !m.now.Before(vm.counts) {
			running = append(running, vm)
		}
	}
	kind := rapid.SampledFrom([]string{"kill", "replace", "replace", "successor first", "wipe", "split", "depose"}).Draw(m.t, "event")
	if m.lost() >= m.tolerated && kind != "depose" && kind != "split" || len(running) == 0 {
		return
	}
	vm := rapid.SampledFrom(running).Draw(m.t, "vm")
	if rapid.IntRange(0, 2).Draw(m.t, "hits the leader") == 0 && m.leader != nil && !m.now.Before(m.leader.counts) {
		vm = m.leader
	}
	m.note("%s, %s if one", kind, vm.id)
	seconds := func(label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from*10, to*10).Draw(m.t, label)) * time.Second / 10
	}
	switch kind {
	case "kill":
		vm.downTo = m.now.Add(seconds("down", 0, 6))
		m.lose(vm, vm.downTo.Add(modelCatchUp))
	case "replace":
		vm.gone = true
		next := m.add(m.now.Add(seconds("until the successor", 0, 3)))
		m.lose(vm, next.since.Add(modelCatchUp))
		next.counts = vm.counts
	case "successor first":
		next := m.add(m.now)
		m.lose(next, m.now.Add(modelCatchUp))
		for end := m.now.Add(seconds("before the stop", 0, 5)); m.now.Before(end); {
			m.step()
		}
		if m.leave(vm) {
			m.lose(vm, next.counts) // it counts no longer than its successor does
		} else {
			m.lose(vm, m.now.Add(modelCatchUp))
		}
		vm.gone = true
	case "wipe":
		vm.gone = true
		next := m.add(m.now.Add(seconds("down", 0, 2)))
		next.address = vm.address
		m.lose(vm, next.since.Add(modelCatchUp))
		next.counts = vm.counts
	case "split":
		if m.split() {
			return
		}
		m.splitTo = m.now.Add(seconds("split", 1, 6))
		for _, vm := range m.vms {
			vm.side = rapid.IntRange(0, 1).Draw(m.t, "side")
			if m.now.Before(vm.counts) {
				m.lose(vm, vm.counts)
			}
		}
		m.calm(m.splitTo.Add(modelCatchUp))
	case "depose":
		if m.leader == nil || m.now.Before(m.deposed.Add(modelCatchUp)) {
			return
		}
		m.leader.planner.Follow()
		m.leader, m.deposed, m.electAt = nil, m.now, m.now.Add(modelStep)
		m.calm(m.now.Add(modelCatchUp))
	}
}

func (m *model) fail(format string, args ...any) {
	for _, line := range m.trace {
		m.t.Log(line)
	}
	m.t.Fatalf(format, args...)
}

// checkCalm checks that the tolerated losses leave a quorum, and that just the VMs that run vote.
func (m *model) checkCalm() {
	running := 0
	for _, vm := range m.vms {
		if m.up(vm) {
			running++
		}
	}
	alive := 0
	for _, member := range m.membership.Members {
		if vm := m.find(member.ID); !member.Learner && m.up(vm) {
			alive++
		}
	}
	if alive-m.tolerated < m.membership.Quorum() {
		m.fail("%d of %d voters run: the loss of %d leaves no quorum of %d", alive, m.membership.Voters(), m.tolerated, m.membership.Quorum())
	}
	if alive != running {
		m.fail("%d of %d running VMs vote", alive, running)
	}
}

// Control VMs are killed, replaced (with the successor before or after), wiped, split and deposed as leaders in random series,
// never more at once than tolerated. Whenever nothing counts as lost, the loss of the tolerated number must leave a quorum.
// Guards against voters that are gone and still count: two replacements, a kill and a split once left seven voters, two of them
// gone, and the loss of two disks left no quorum for good.
func TestToleratedLossesLeaveAQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 3).Draw(t, "tolerated"))
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			m.event()
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				m.step()
				if !m.now.Before(m.calmAt) {
					m.checkCalm()
				}
			}
		}
		for !m.now.After(m.calmAt) {
			m.step()
		}
		m.checkCalm()
	})
}
