package request

// retained bounds the answers kept for retries. A work item whose end the log has not recorded yet may lose its answer
// but stays, because no other record says that the key was run.
type retained struct {
	order []*workItem // ended work items, oldest first
	bytes int
}

// add appends an ended work item and evicts others if a limit is exceeded.
func (r *retained) add(m *Machine, w *workItem) {
	r.order = append(r.order, w)
	if w.answer != nil {
		r.bytes += w.answer.size()
	}
	r.evict(m)
}

// evict removes the oldest work items until the limits hold.
func (r *retained) evict(m *Machine) {
	var unrecorded []*workItem
	i := 0
	for ; i < len(r.order); i++ {
		if len(r.order)-i+len(unrecorded) <= m.cfg.RetainCount && r.bytes <= m.cfg.RetainBytes {
			break
		}
		w := r.order[i]
		if w.answer != nil {
			r.bytes -= w.answer.size()
			w.answer = nil
		}
		if w.state == stateRetained {
			m.drop(w)
		} else {
			unrecorded = append(unrecorded, w)
		}
		r.order[i] = nil
	}
	r.order = r.order[i:]
	if len(unrecorded) > 0 {
		r.order = append(unrecorded, r.order...)
	}
}
