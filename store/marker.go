package store

import "endiveroute.example/endive"

// marker is a row that only this client writes, with one transaction at a time.
type marker struct {
	key     string
	version endive.Version
}

// fenceSuffix is appended to a transaction's WriteID for the WriteID of its fence.
const fenceSuffix = "/fence"

// addTo returns a copy of a transaction that also writes the marker row, on the
// condition that the row has the marker's version.
func (m *marker) addTo(txn endive.Transaction) endive.Transaction {
	conditions := make([]endive.Condition, 0, len(txn.Conditions)+1)
	conditions = append(conditions, txn.Conditions...)
	writes := make([]endive.Write, 0, len(txn.Writes)+1)
	writes = append(writes, txn.Writes...)
	return endive.Transaction{
		WriteID:    txn.WriteID,
		Conditions: append(conditions, endive.Condition{Key: m.key, Version: m.version}),
		Writes:     append(writes, endive.Write{Key: m.key}),
	}
}

// fence returns a transaction that writes only the marker row. Once this fence
// is applied, the transaction with the given WriteID can't be applied any more.
func (m *marker) fence(id endive.WriteID) endive.Transaction {
	return m.addTo(endive.Transaction{WriteID: id + fenceSuffix})
}
