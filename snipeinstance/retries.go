package snipeinstance

import "snipepitch.example/snipepitch/sniperetry"

// retries returns the Retrier that executes calls and retries failed ones.
func (i *Instance) retries() *sniperetry.Retrier {
	return &sniperetry.Retrier{
		Choose: i.choose, Execute: i.quarantine.guard.Execute, Budget: sniperetry.DefaultBudget(), Log: i.Log,
	}
}
