package snipeinstance

import "snipepitch.example/snipepitch/sniperetry"

// retries returns what executes calls with their retries.
func (i *Instance) retries() *sniperetry.Attempts {
	return &sniperetry.Attempts{
		Choose: i.choose, Execute: i.quarantine.guard.Execute, Budget: sniperetry.DefaultBudget(), Log: i.Log,
	}
}
