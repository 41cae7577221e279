package request

// retained bounds the answers kept for retries. Works whose end the log has not recorded yet lose their answer but
// stay, because only they know that the key was run.
type retained struct {
	order []*work // ended works, oldest first
	bytes int
}

// add keeps an ended work.
func (r *retained) add(m *Machine, w *work) {
	r.order = append(r.order, w)
	if w.answer != nil {
		r.bytes += w.answer.size()
	}
	r.evict(m)
}

// evict removes the oldest works until the limits hold.
func (r *retained) evict(m *Machine) {
	var unrecorded []*work
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
