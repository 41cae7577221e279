package planner_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/membership"
	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/planner"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

const propertyHosts = 5

var domains = []string{"gaillimh-a", "gaillimh-b", "luimneach-a"}

// propertyMachine executes random commands and checks the invariants after each command.
type propertyMachine struct {
	*harness
	t            *rapid.T
	incarnations map[string]uint64
	keys         int
	lastConfig   *model.Snapshot
}

func (m *propertyMachine) host() string {
	return fmt.Sprintf("h%d", rapid.IntRange(1, propertyHosts).Draw(m.t, "host"))
}

func (m *propertyMachine) service() string {
	return rapid.SampledFrom([]string{"iarratas", "iomha"}).Draw(m.t, "service")
}

func (m *propertyMachine) spec() *intentpb.Spec {
	switch rapid.IntRange(0, 9).Draw(m.t, "spec") {
	case 0, 1:
		frontends := map[string]string{"iarratas": "10.0.0.1:80", "iomha": "10.0.0.2:80"}
		name := m.service()
		return create(name, frontends[name], m.host(), m.host(), m.host())
	case 2, 3, 4:
		return retire(m.host(), 0)
	case 5:
		return returnHost(m.host())
	case 6:
		return move(m.service(), rapid.SampledFrom(domains).Draw(m.t, "from"), rapid.SampledFrom(domains).Draw(m.t, "to"))
	case 7:
		return closeService(m.service(), 0)
	case 8:
		return rights(m.service(), m.host(), m.host(), m.host())
	}
	return rotate(rapid.Uint32Range(1, 3).Draw(m.t, "key"))
}

func (m *propertyMachine) intent() *intentpb.Intent {
	all := m.cat.Intents(true)
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(m.t, "intent")
}

// step executes one random command. Refusals are expected; only the invariants are checked.
func (m *propertyMachine) step() {
	switch rapid.IntRange(0, 11).Draw(m.t, "do") {
	case 0, 1:
		host := m.host()
		m.incarnations[host] += uint64(rapid.IntRange(0, 1).Draw(m.t, "restart"))
		m.announce(host, domains[int(host[1]-'1')%len(domains)], m.incarnations[host]+1, "iarratas", "iomha")
	case 2:
		m.toggleLost(m.host())
	case 3, 4:
		m.plan()
	case 5, 6:
		if in := m.intent(); in != nil {
			m.confirm(in.Id, in.Plan.GetNumber(), "ann")
		}
	case 7, 8, 9:
		if in := m.intent(); in != nil && planner.NextStep(m.view(), in).Kind != planner.Wait {
			m.advanceChecked(in)
		}
	case 10:
		if in := m.intent(); in != nil {
			states := []intentpb.State{intentpb.State_STATE_PAUSED, intentpb.State_STATE_RUNNING, intentpb.State_STATE_ABORTED}
			state := rapid.SampledFrom(states).Draw(m.t, "state")
			m.apply(&catalogpb.Command{Do: &catalogpb.Command_SetState{SetState: &catalogpb.SetState{Intent: in.Id, State: state, Operator: "bob"}}})
		}
	case 11:
		m.fleet.loads[m.host()] = membership.Load{Flows: uint64(rapid.IntRange(0, 2).Draw(m.t, "flows"))}
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "ms")) * time.Millisecond)
}

// toggleLost declares a host lost, or returned if it is lost.
func (m *propertyMachine) toggleLost(host string) {
	loss := []*catalogpb.Loss{{Host: host, Incarnation: m.cat.Host(host).GetIncarnation(), Observers: []string{"x"}}}
	if m.cat.Host(host).GetLost() {
		m.apply(&catalogpb.Command{Do: &catalogpb.Command_Return{Return: &catalogpb.Return{Hosts: loss}}})
		return
	}
	m.apply(&catalogpb.Command{Do: &catalogpb.Command_Lost{Lost: &catalogpb.DeclareLost{Hosts: loss}}})
}

func (m *propertyMachine) plan() {
	spec := m.spec()
	plan, err := planner.Plan(m.view(), spec)
	if err != nil {
		return
	}
	m.keys++
	m.submit(rapid.SampledFrom([]string{"ann", "bob"}).Draw(m.t, "operator"), fmt.Sprint(m.keys), spec, plan)
}

// advanceChecked carries out a step and checks that it removed the last active upstream of no open service.
func (m *propertyMachine) advanceChecked(in *intentpb.Intent) {
	before := activeCounts(m.cat.Config())
	if m.advance(in) != nil {
		return
	}
	after := m.cat.Config()
	for id, n := range activeCounts(after) {
		if n == 0 && before[id] > 0 && !after.Services[id].Closing {
			m.t.Fatalf("intent %d took the last active upstream of service %d", in.Id, id)
		}
	}
}

func activeCounts(s *model.Snapshot) map[model.ServiceID]int {
	counts := map[model.ServiceID]int{}
	for id, svc := range s.Services {
		counts[id] = 0
		for _, mem := range svc.Members {
			if mem.State == model.UpstreamActive {
				counts[id]++
			}
		}
	}
	return counts
}

// check compares the configuration with the previous configuration and checks the invariants.
func (m *propertyMachine) check() {
	next := m.cat.Config()
	if next.Revision < m.lastConfig.Revision {
		m.t.Fatalf("revision went from %d to %d", m.lastConfig.Revision, next.Revision)
	}
	same := next.Revision == m.lastConfig.Revision
	changed := !reflect.DeepEqual(next.Services, m.lastConfig.Services) || !reflect.DeepEqual(next.Upstreams, m.lastConfig.Upstreams) ||
		!reflect.DeepEqual(next.Keys, m.lastConfig.Keys)
	if same && changed {
		m.t.Fatalf("revision %d has two contents", next.Revision)
	}
	for id, svc := range next.Services {
		old := m.lastConfig.Services[id]
		if (old == nil || old.Generation != svc.Generation) && svc.Generation != next.Revision {
			m.t.Fatalf("members of %s changed at revision %d, generation is %d", svc.Name, next.Revision, svc.Generation)
		}
		if old != nil && (old.Generation != svc.Generation) != !reflect.DeepEqual(old.Members, svc.Members) {
			m.t.Fatalf("generation of %s went from %d to %d with members %v to %v", svc.Name, old.Generation, svc.Generation, old.Members, svc.Members)
		}
	}
	m.lastConfig = next
	m.checkExclusive()
}

// checkExclusive checks that no service or host is changed by two running or paused plans. It takes the services and
// hosts from the steps of the plans instead of their claims, which it verifies.
func (m *propertyMachine) checkExclusive() {
	holder := map[string]uint64{}
	for _, in := range m.cat.Intents(true) {
		if in.State != intentpb.State_STATE_RUNNING && in.State != intentpb.State_STATE_PAUSED {
			continue
		}
		touched := map[string]bool{}
		for _, s := range in.Plan.Steps {
			if s.Service != "" {
				touched["service "+s.Service] = true
			}
			for _, host := range s.Hosts {
				if s.Kind != intentpb.StepKind_STEP_CREATE {
					touched["host "+host] = true
				}
			}
		}
		for object := range touched {
			if other := holder[object]; other != 0 {
				m.t.Fatalf("intents %d and %d both touch %s", other, in.Id, object)
			}
			holder[object] = in.Id
		}
	}
}

// checkReplay compares the state with one replayed from the log, and one restored from a snapshot in the middle.
func (m *propertyMachine) checkReplay() {
	want, err := m.cat.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}
	middle := rapid.IntRange(0, len(m.log)).Draw(m.t, "middle")
	replayed, restored := catalog.New(), catalog.New()
	for i, e := range m.log {
		if i == middle {
			raw, _ := replayed.Snapshot()
			if err := restored.Restore(raw); err != nil {
				m.t.Fatal(err)
			}
		}
		replayed.Apply(uint64(i+1), e.at, e.command)
		if i >= middle {
			restored.Apply(uint64(i+1), e.at, e.command)
		}
	}
	if middle == len(m.log) {
		restored.Restore(want)
	}
	for _, c := range []*catalog.Catalog{replayed, restored} {
		got, _ := c.Snapshot()
		if !bytes.Equal(got, want) {
			m.t.Fatalf("replayed state differs, snapshot taken at %d of %d", middle, len(m.log))
		}
		if !reflect.DeepEqual(c.Config().Services, m.lastConfig.Services) || c.Config().Revision != m.lastConfig.Revision {
			m.t.Fatalf("replayed configuration differs")
		}
	}
}

// Guards against a revision with two contents or one that goes back, a generation that changes without its members,
// two running plans on one service or host, a plan that takes the last active upstream, and replicas that differ after
// a replay from the log or from a snapshot.
func TestCatalogProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &propertyMachine{harness: newHarness(), t: t, incarnations: map[string]uint64{}}
		m.lastConfig = m.cat.Config()
		for i := 1; i <= propertyHosts; i++ {
			m.announce(fmt.Sprintf("h%d", i), domains[(i-1)%len(domains)], 1, "iarratas", "iomha")
		}
		if _, err := m.execute("first", create("iarratas", "10.0.0.1:80", "h1", "h2", "h3")); err != nil {
			t.Fatal(err)
		}
		m.lastConfig = m.cat.Config()
		for range rapid.IntRange(20, 120).Draw(t, "commands") {
			m.step()
			m.check()
		}
		m.checkReplay()
	})
}
