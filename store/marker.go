package store

import "endiveroute.example/endive"

// marker is a row that only this client writes, for one transaction at a time.
type marker struct {
	key     string
	version endive.Version
}

// fenceSuffix makes the WriteID of a fence from that of its transaction.
const fenceSuffix = "/fence"

// addTo returns txn with the marker's row added to it.
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

// fence returns the transaction after which the covered one can't be applied.
func (m *marker) fence(id endive.WriteID) endive.Transaction {
	return m.addTo(endive.Transaction{WriteID: id + fenceSuffix})
}
