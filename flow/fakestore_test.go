package flow

import (
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/quota"
)

// commit executes a transaction, subject to the simulation's faults.
func (h *holder) commit(txn endive.Transaction) {
	const oneWay, timeout = 4 * time.Millisecond, 300 * time.Millisecond
	w := h.sim
	switch {
	case h.storeAway || w.happens("lostWrite", w.faults.lostWrite):
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.happens("lateWrite", w.faults.lateWrite):
		w.after(time.Second+time.Duration(w.random.Int63n(int64(3*time.Second))), func() { w.apply(txn) })
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.happens("lostWriteAnswer", w.faults.lostWriteAnswer):
		w.after(oneWay, func() { w.apply(txn) })
		w.after(timeout, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	default:
		w.after(oneWay, func() {
			event := w.apply(txn)
			w.after(oneWay, func() { h.step(event) })
		})
	}
}

// storeRowBytes is the limit of the store for the size of a row.
const storeRowBytes = 64 << 10

// apply commits a transaction if its conditions hold and the store takes its rows.
func (w *simulation) apply(txn endive.Transaction) endive.Committed {
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict}
	for _, condition := range txn.Conditions {
		if row := w.rows[condition.Key]; row.Version != condition.Version {
			event.Conflicts = append(event.Conflicts, row)
		}
	}
	if len(event.Conflicts) > 0 {
		return event
	}
	for _, write := range txn.Writes {
		if len(write.Value) > storeRowBytes || w.rejects != nil && w.rejects(write.Key, write.Value) {
			w.refusedRows[write.Key]++
			event.Status = endive.CommitRejected
			return event
		}
	}
	w.version++
	w.commits++
	event.Status = endive.CommitApplied
	for _, write := range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, w.version)
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = endive.Row{Key: write.Key, Version: w.version, Value: write.Value}
		if strings.HasPrefix(write.Key, quota.Prefix) {
			w.publishQuotaRows()
		}
	}
	return event
}

// publishQuotaRows sends the pools' parts of the caps to the holders.
func (w *simulation) publishQuotaRows() {
	for _, h := range w.holders {
		h.send(w.quotaRows())
	}
}
