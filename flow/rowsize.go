package flow

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"endiveroute.example/endive"
)

const (
	// maxRowBytes is the maximum size of a row's value. The store takes up to 64 KiB.
	maxRowBytes = 60 << 10
	// maxPendingBytes and maxHeldBackBytes are the parts of the status row for the counts of the
	// queues and for the accounts. The forecasts get what remains.
	maxPendingBytes  = 40 << 10
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
	pending := rowBudget(maxPendingBytes)
	heldBack := rowBudget(maxHeldBackBytes)
	kept := make(map[endive.QueueName]int)
	for _, queue := range s.queuesByPending() {
		if !pending.take(queue, s.Pending[queue]) {
			s.PendingCut = true
			break
		}
		kept[queue] = s.Pending[queue]
	}
	s.Pending = kept
	for i, account := range s.HeldBack {
		if !heldBack.take(account, "") {
			s.HeldBack = s.HeldBack[:i]
			break
		}
	}
	forecasts := s.Forecasts
	s.Forecasts = nil
	left := rowBudget(maxRowBytes - rowOverhead - len(encodeRow(s)))
	s.Forecasts = newestForecasts(forecasts, &left)
	return encodeRow(s)
}

// queuesByPending returns the queues in the order of their waiting workflows, most first.
func (s *Status) queuesByPending() []endive.QueueName {
	return slices.SortedFunc(maps.Keys(s.Pending), func(a, b endive.QueueName) int {
		return cmp.Or(cmp.Compare(s.Pending[b], s.Pending[a]), cmp.Compare(a, b))
	})
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

// PendingOf returns the number of workflows of a queue of which no task has started, and false if the
// row had no space for the queue.
func (s *Status) PendingOf(queue endive.QueueName) (count int, known bool) {
	count, known = s.Pending[queue]
	return count, known || !s.PendingCut
}

// decodeRow decodes the JSON of a row.
func decodeRow(value []byte, into any) error { return json.Unmarshal(value, into) }
