package planner

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// replaceControl plans to add the new control VM, as a learner and then as a voter, before it removes the old one. The
// members change one at a time.
func (b *builder) replaceControl(want *intentpb.ReplaceControl) error {
	if want.Old == "" || want.New == "" || want.Old == want.New {
		return result.Errorf(result.IntentMalformed, "a replacement needs two different control VMs")
	}
	if _, err := netip.ParseAddrPort(want.Address); err != nil {
		return result.Errorf(result.IntentMalformed, "address of %s: %w", want.New, err)
	}
	if err := b.checkQuorum(want); err != nil {
		return err
	}
	b.claim(catalog.ControlObject)
	b.addStep(intentpb.StepKind_STEP_ADD_CONTROL, nil, []string{want.New}, commitEstimateMs, "add %s at %s as a learner", want.New, want.Address)
	b.addStep(intentpb.StepKind_STEP_AWAIT_CAUGHT_UP, nil, []string{want.New}, catchUpEstimateMs, "wait until %s has caught up and votes", want.New)
	b.addStep(intentpb.StepKind_STEP_REMOVE_CONTROL, nil, []string{want.Old}, commitEstimateMs, "remove %s", want.Old)
	return nil
}

// checkQuorum refuses a replacement whose membership changes could not be committed. While the old and the new VM are
// both members, the quorum is that of one additional voter.
func (b *builder) checkQuorum(want *intentpb.ReplaceControl) error {
	voters, reachable := 0, 0
	oldKnown, oldReachable := false, false
	for _, m := range b.view.Control {
		if m.ID == want.New {
			return result.Errorf(result.IntentConflict, "%s is a control VM already", want.New)
		}
		if m.Unsettled {
			return result.Errorf(result.MembersUnsettled, "the leader of the catalog does not lead all logs yet")
		}
		if !m.Voter {
			continue
		}
		voters++
		if m.Reachable {
			reachable++
		}
		if m.ID == want.Old {
			oldKnown, oldReachable = true, m.Reachable
		}
	}
	if !oldKnown {
		return result.Errorf(result.PlanUnknownHost, "no control VM %q", want.Old)
	}
	during := reachable + 1
	if during < quorum(voters+1) {
		return result.Errorf(result.PlanLastQuorum, "%d of %d control VMs would be reachable, %d are needed", during, voters+1, quorum(voters+1))
	}
	after := during
	if oldReachable {
		after--
	}
	if after < quorum(voters) {
		return result.Errorf(result.PlanLastQuorum, "%d of %d control VMs would remain reachable", after, voters)
	}
	if after == quorum(voters) {
		b.addRisk("the loss of one more control VM would stop all changes")
	}
	return nil
}

func quorum(voters int) int { return voters/2 + 1 }

// rotateKey plans a key rotation: every VM accepts the new key before any VM signs with it, and the old key is dropped
// last.
func (b *builder) rotateKey(want *intentpb.RotateKey) error {
	ring := b.view.Catalog.Keys()
	if want.Key == 0 {
		return result.Errorf(result.IntentMalformed, "key 0 stands for the key of the settings")
	}
	if ring.Active == want.Key {
		return result.Errorf(result.IntentConflict, "key %d is active already", want.Key)
	}
	b.claim(catalog.KeysObject)
	b.addRisk("a VM whose settings lack key %d drops all tunnel packets from the second step on", want.Key)
	b.addRisk("the plan waits for every VM; a VM without a lease delays it")
	hosts := []string{}
	b.addStep(intentpb.StepKind_STEP_ADD_KEY, nil, hosts, commitEstimateMs, "accept key %d", want.Key)
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, hosts, inForceEstimateMs, "wait until every VM accepts key %d", want.Key)
	b.addStep(intentpb.StepKind_STEP_SWITCH_KEY, nil, hosts, commitEstimateMs, "sign with key %d", want.Key)
	b.addStep(intentpb.StepKind_STEP_AWAIT_IN_FORCE, nil, hosts, inForceEstimateMs, "wait until every VM signs with key %d", want.Key)
	b.addStep(intentpb.StepKind_STEP_DROP_KEY, nil, hosts, commitEstimateMs, "accept no other key")
	return nil
}

// isRotation reports whether the intent rotates the tunnel key. Its steps must be in force on every VM, not only on the
// entries and the members of a service.
func isRotation(in *intentpb.Intent) bool { return in.Spec.GetRotate() != nil }
