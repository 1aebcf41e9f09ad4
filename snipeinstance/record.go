package snipeinstance

import (
	"crypto/rand"

	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeslot"
)

// aliasRecords returns a function that opens the record of retired aliases in the table, for an
// engine and the fencing number of its ownership.
func aliasRecords(table snipeplatform.Table) func(engine string, fence uint64) *snipeslot.RetiredRecord {
	return func(engine string, fence uint64) *snipeslot.RetiredRecord {
		return &snipeslot.RetiredRecord{
			Table: table, Engine: engine, Fence: fence,
			Owner: snipelease.OwnerCheck(engine, fence), Operation: rand.Text,
		}
	}
}
