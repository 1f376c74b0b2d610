package flow

import (
	"cmp"
	"maps"
	"slices"

	"endiveroute.example/endive"
)

const (
	// maxRowBytes is the maximum size of a row's value. The store takes up to 64 KiB.
	maxRowBytes = 60 << 10
	// maxPendingBytes is the part of the status row for the counts by queue, and again for those by
	// address; maxHeldBackBytes is the part for the accounts. The forecasts get what remains.
	maxPendingBytes  = 20 << 10
	maxHeldBackBytes = 8 << 10
	// rowOverhead is more than the size of the other fields of a status row.
	rowOverhead = 512
)

// rowBudget is the number of bytes of a row that are left.
type rowBudget int

// take reserves the bytes of an element: its encoded key, its encoded value and the separators. It
// reports whether they fit.
func (b *rowBudget) take(key, value any) bool {
	size := rowBudget(len(encodeRow(key)) + len(encodeRow(value)) + 2)
	if size > *b {
		return false
	}
	*b -= size
	return true
}

// fit cuts the status so that its row isn't larger than maxRowBytes, and encodes it. The queues with the
// most waiting workflows and the forecasts that were used last are kept.
func (s *Status) fit() []byte {
	if value := encodeRow(s); len(value) <= maxRowBytes {
		return value
	}
	s.cutPending()
	s.cutHeldBack()
	forecasts := s.Forecasts
	s.Forecasts = nil
	left := rowBudget(maxRowBytes - rowOverhead - len(encodeRow(s)))
	s.Forecasts = newestForecasts(forecasts, &left)
	return encodeRow(s)
}

// cutPending removes the queues and addresses with the fewest waiting workflows that don't fit.
func (s *Status) cutPending() {
	byName := make(map[string]int, len(s.Pending))
	for queue, count := range s.Pending {
		byName[string(queue)] = count
	}
	byName, allNames := largestCounts(byName)
	s.Pending = make(map[endive.QueueName]int, len(byName))
	for name, count := range byName {
		s.Pending[endive.QueueName(name)] = count
	}
	byAddress, allAddresses := largestCounts(s.PendingAt)
	s.PendingAt = byAddress
	s.PendingCut = !allNames || !allAddresses
}

// largestCounts returns the largest counts that fit into maxPendingBytes, and whether all of them do.
func largestCounts(counts map[string]int) (kept map[string]int, all bool) {
	left := rowBudget(maxPendingBytes)
	kept = make(map[string]int)
	for _, name := range slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	}) {
		if !left.take(name, counts[name]) {
			return kept, false
		}
		kept[name] = counts[name]
	}
	return kept, true
}

// cutHeldBack removes the accounts that don't fit. They are only a hint to other entries.
func (s *Status) cutHeldBack() {
	left := rowBudget(maxHeldBackBytes)
	for i, account := range s.HeldBack {
		if !left.take(account, "") {
			s.HeldBack = s.HeldBack[:i]
			return
		}
	}
}

// newestForecasts returns the forecasts that were used last and fit the budget.
func newestForecasts(forecasts map[endive.QueueName]*Forecast, left *rowBudget) map[endive.QueueName]*Forecast {
	kept := make(map[endive.QueueName]*Forecast)
	for _, queue := range forecastsByUse(forecasts) {
		if !left.take(queue, forecasts[queue]) {
			break
		}
		kept[queue] = forecasts[queue]
	}
	return kept
}

// forecastsByUse returns the queues with forecasts, those used last first.
func forecastsByUse(forecasts map[endive.QueueName]*Forecast) []endive.QueueName {
	return slices.SortedFunc(maps.Keys(forecasts), func(a, b endive.QueueName) int {
		return cmp.Or(forecasts[b].usedAt.Compare(forecasts[a].usedAt), cmp.Compare(a, b))
	})
}

// PendingOf returns the number of workflows handed in at a queue's address of which no task has started,
// and false if the row had no space for the queue.
func (s *Status) PendingOf(queue endive.Queue) (count int, known bool) {
	if count, known = s.PendingAt[QueueAddress(queue)]; known {
		return count, true
	}
	if s.PendingAt == nil {
		// A holder of an earlier build counts by the queues' names alone.
		count, known = s.Pending[queue.Name]
	}
	return count, known || !s.PendingCut
}
