package snipeinstance

import (
	"crypto/rand"

	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeslot"
)

// recordOf returns the lists of given-up aliases in the table.
func recordOf(table snipeplatform.Table) func(engine string, fence uint64) *snipeslot.Record {
	return func(engine string, fence uint64) *snipeslot.Record {
		return &snipeslot.Record{
			Table: table, Engine: engine, Fence: fence,
			Owner: snipelease.OwnerCheck(engine, fence), Operation: rand.Text,
		}
	}
}
