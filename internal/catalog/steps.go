package catalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// applyStep applies the effect of a plan step. On error the state is unchanged. Steps that only wait have no effect here:
// the leader decides from its leases when they are complete.
func (c *Catalog) applyStep(in *intentpb.Intent, step *intentpb.Step) error {
	switch step.Kind {
	case intentpb.StepKind_STEP_CREATE:
		return c.createService(in, in.Spec.GetCreate())
	case intentpb.StepKind_STEP_SET_LIMITS:
		return c.setLimits(in, in.Spec.GetLimits())
	case intentpb.StepKind_STEP_RETIRE, intentpb.StepKind_STEP_RETURN:
		return c.setRetired(in, step)
	case intentpb.StepKind_STEP_DRAIN:
		if step.Service == "" {
			return c.drainHosts(in, step.Hosts)
		}
	case intentpb.StepKind_STEP_ADD_KEY, intentpb.StepKind_STEP_SWITCH_KEY, intentpb.StepKind_STEP_DROP_KEY:
		return c.changeKeys(in, step.Kind, in.Spec.GetRotate().GetKey())
	}
	if step.Service == "" {
		return nil
	}
	svc := c.services[c.serviceByName[step.Service]]
	if svc == nil {
		return result.Errorf(result.PlanUnknownService, "no service %s", step.Service)
	}
	return c.applyServiceStep(in, step, svc)
}

func (c *Catalog) applyServiceStep(in *intentpb.Intent, step *intentpb.Step, svc *catalogpb.Service) error {
	hosts := strings.Join(step.Hosts, ", ")
	switch step.Kind {
	case intentpb.StepKind_STEP_SET_RIGHTS:
		c.setRights(svc, append(slices.Clone(svc.Rights), step.Hosts...))
		c.recordChange(in, "", "rights of "+svc.Name+" extended to "+hosts, svc.Id)
	case intentpb.StepKind_STEP_DRAIN:
		if err := c.checkActiveRemains(svc, step.Hosts...); err != nil {
			return err
		}
		svc.Draining = sortedSet(append(svc.Draining, step.Hosts...))
		c.updateService(svc)
		c.recordChange(in, "", "draining "+hosts+" in "+svc.Name, svc.Id)
	case intentpb.StepKind_STEP_DROP_RIGHTS:
		if err := c.checkActiveRemains(svc, step.Hosts...); err != nil {
			return err
		}
		c.setRights(svc, subtract(svc.Rights, step.Hosts))
		c.recordChange(in, "", "rights of "+svc.Name+" withdrawn from "+hosts, svc.Id)
	case intentpb.StepKind_STEP_PARK:
		if err := c.checkActiveRemains(svc, step.Hosts...); err != nil {
			return err
		}
		svc.Parked = sortedSet(append(svc.Parked, step.Hosts...))
		svc.Draining = subtract(svc.Draining, step.Hosts)
		c.updateService(svc)
		c.recordChange(in, "", hosts+" no longer carry "+svc.Name, svc.Id)
	case intentpb.StepKind_STEP_UNPARK:
		svc.Parked = subtract(svc.Parked, step.Hosts)
		c.updateService(svc)
		c.recordChange(in, "", hosts+" carry "+svc.Name+" again", svc.Id)
	case intentpb.StepKind_STEP_STOP_NEW:
		c.setClosing(svc, true)
		c.recordChange(in, "", svc.Name+" takes no new flows", svc.Id)
	case intentpb.StepKind_STEP_CLOSE:
		c.closeService(in, svc)
	}
	return nil
}

func (c *Catalog) updateService(svc *catalogpb.Service) {
	svc.Version = c.index
	c.deriveMembers(svc)
}

func (c *Catalog) setClosing(svc *catalogpb.Service, closing bool) {
	if svc.Closing == closing {
		return
	}
	c.bumpRevision()
	svc.Closing = closing
	svc.Version = c.index
	c.dirtyServices[svc.Id] = true
}

// drainHosts drains hosts in every service. It fails if a service would be left without an active upstream.
func (c *Catalog) drainHosts(in *intentpb.Intent, hosts []string) error {
	for _, host := range hosts {
		if c.hosts[host] == nil {
			return result.Errorf(result.PlanUnknownHost, "no host %s", host)
		}
		for _, id := range c.servicesByHost[host] {
			if err := c.checkActiveRemains(c.services[id], hosts...); err != nil {
				return err
			}
		}
	}
	for _, host := range hosts {
		c.setDraining(host, true)
		c.recordChange(in, host, "draining "+host, c.servicesByHost[host]...)
	}
	return nil
}

func (c *Catalog) setDraining(host string, draining bool) {
	h := c.hosts[host]
	if h == nil || h.Draining == draining {
		return
	}
	h.Draining = draining
	h.Version = c.index
	c.deriveMembersOfHost(host)
}

// setRetired retires draining hosts, or reinstates retired hosts.
func (c *Catalog) setRetired(in *intentpb.Intent, step *intentpb.Step) error {
	retire := step.Kind == intentpb.StepKind_STEP_RETIRE
	for _, host := range step.Hosts {
		h := c.hosts[host]
		if h == nil {
			return result.Errorf(result.PlanUnknownHost, "no host %s", host)
		}
		if retire && !h.Draining {
			return result.Errorf(result.IntentNotPlanned, "%s is not draining", host)
		}
	}
	for _, host := range step.Hosts {
		h := c.hosts[host]
		c.bumpRevision()
		h.Retired = retire
		h.Draining = false
		h.RetiredBy = 0
		text := host + " may carry services again"
		if retire {
			h.RetiredBy = in.Id
			text = host + " retired"
		}
		h.Version = c.index
		c.dirtyHosts[host] = true
		services := c.deriveMembersOfHost(host)
		c.recordChange(in, host, text, services...)
	}
	return nil
}

func (c *Catalog) setLimits(in *intentpb.Intent, want *intentpb.SetLimits) error {
	if want.Service != "" && c.serviceByName[want.Service] == 0 {
		return result.Errorf(result.PlanUnknownService, "no service %s", want.Service)
	}
	if want.Host != "" && c.hosts[want.Host] == nil {
		return result.Errorf(result.PlanUnknownHost, "no host %s", want.Host)
	}
	if svc := c.services[c.serviceByName[want.Service]]; svc != nil && want.QueueLimit != 0 {
		c.bumpRevision()
		svc.QueueLimit = want.QueueLimit
		svc.Version = c.index
		c.dirtyServices[svc.Id] = true
		c.recordChange(in, "", fmt.Sprintf("queue limit of %s set to %d", svc.Name, want.QueueLimit), svc.Id)
	}
	if h := c.hosts[want.Host]; h != nil {
		c.bumpRevision()
		if want.Slots != 0 {
			h.SlotLimit = want.Slots
		}
		if want.MaxConnections != 0 {
			h.ConnectionLimit = want.MaxConnections
		}
		h.Version = c.index
		c.dirtyHosts[h.Host] = true
		c.deriveMembersOfHost(h.Host)
		text := fmt.Sprintf("limits of %s set to %d slots and %d connections", h.Host, h.SlotLimit, h.ConnectionLimit)
		c.recordChange(in, h.Host, text, c.servicesByHost[h.Host]...)
	}
	return nil
}

// changeKeys executes one step of a key rotation. Every VM must accept a key before any VM signs with it.
func (c *Catalog) changeKeys(in *intentpb.Intent, kind intentpb.StepKind, key uint32) error {
	ring := c.keys
	switch kind {
	case intentpb.StepKind_STEP_ADD_KEY:
		ring.Accepted = sortedSet(append(ring.Accepted, key))
	case intentpb.StepKind_STEP_SWITCH_KEY:
		if !slices.Contains(ring.Accepted, key) {
			return result.Errorf(result.IntentNotPlanned, "key %d is not accepted yet", key)
		}
		ring.Active = key
	case intentpb.StepKind_STEP_DROP_KEY:
		if ring.Active != key {
			return result.Errorf(result.IntentNotPlanned, "key %d is not active", key)
		}
		ring.Accepted = []uint32{key}
	}
	c.bumpRevision()
	ring.Version = c.index
	verb := strings.ToLower(strings.TrimPrefix(kind.String(), "STEP_"))
	c.recordChange(in, "", fmt.Sprintf("%s: active key %d, accepted %v", strings.ReplaceAll(verb, "_", " "), ring.Active, ring.Accepted))
	return nil
}

// undoStep reverts a completed step of an aborted plan. Only draining, stopping new flows and adding a key can be
// reverted; other steps remain in effect.
func (c *Catalog) undoStep(step *intentpb.Step) {
	svc := c.services[c.serviceByName[step.Service]]
	switch step.Kind {
	case intentpb.StepKind_STEP_DRAIN:
		if step.Service == "" {
			for _, host := range step.Hosts {
				c.setDraining(host, false)
			}
		}
		if svc != nil {
			svc.Draining = subtract(svc.Draining, step.Hosts)
			c.updateService(svc)
		}
	case intentpb.StepKind_STEP_STOP_NEW:
		if svc != nil {
			c.setClosing(svc, false)
		}
	case intentpb.StepKind_STEP_ADD_KEY:
		c.keepActiveKey()
	}
}

// keepActiveKey removes all accepted keys except the active one.
func (c *Catalog) keepActiveKey() {
	if c.keys.Active == 0 || len(c.keys.Accepted) < 2 {
		return
	}
	c.bumpRevision()
	c.keys.Accepted = []uint32{c.keys.Active}
	c.keys.Version = c.index
}

func (c *Catalog) setControl(cmd *catalogpb.SetControl) error {
	members := slices.Clone(cmd.Members)
	slices.SortFunc(members, func(a, b *catalogpb.ControlMember) int { return strings.Compare(a.Id, b.Id) })
	same := slices.EqualFunc(members, c.control, func(a, b *catalogpb.ControlMember) bool {
		return a.Id == b.Id && a.Address == b.Address
	})
	if same {
		return nil
	}
	c.control = members
	c.controlVersion = c.index
	return nil
}
