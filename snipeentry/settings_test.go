package snipeentry_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
)

const settingsText = `{
  "Name": "one", "Domain": "here",
  "Callers": "10.0.0.1:80", "Ready": "10.0.0.1:81", "Peers": "10.0.0.1:82", "Metrics": "10.0.0.1:83",
  "Table": "10.0.0.9:90", "OrderGap": "3s", "RetryShare": 0.2, "RetrySlack": 58, "RetrySpan": "10s",
  "QuotaSpan": "7s", "QuotaOverrun": 0.1, "QuotaSlack": 110000,
  "StopTimeout": "8s", "DrainTime": "3s", "ApplyTime": "4s", "MemoryBytes": 284000000, "LogLevel": "info"
}`

// TestLoadSettings checks that errors name the file, the field and the reason.
func TestLoadSettings(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"Good":              {"", "", ""},
		"NoName":            {`"one"`, `""`, "Name"},
		"NoPort":            {"10.0.0.1:80", "10.0.0.1:0", "Callers"},
		"NoAddress":         {"10.0.0.1:82", "here", "Peers"},
		"LongShare":         {"0.2", "1.2", "RetryShare"},
		"NoSlack":           {"58", "-1", "RetrySlack"},
		"NoSpan":            {"10s", "0s", "RetrySpan"},
		"NoQuotaSpan":       {"7s", "0s", "QuotaSpan"},
		"AllOverrun":        {`"QuotaOverrun": 0.1`, `"QuotaOverrun": 1.1`, "QuotaOverrun"},
		"NoQuotaSlack":      {"110000", "-1", "QuotaSlack"},
		"ShortStop":         {"8s", "2s", "StopTimeout"},
		"NoLevel":           {`"info"`, `"loud"`, "LogLevel"},
		"BadGap":            {"3s", "-3s", "OrderGap"},
		"NoDrain":           {`"DrainTime": "3s"`, `"DrainTime": "0s"`, "DrainTime"},
		"NoApply":           {"4s", "-4s", "ApplyTime"},
		"Defaults":          {`"DrainTime": "3s", "ApplyTime": "4s", `, "", ""},
		"Unknown":           {`"Name"`, `"Nome"`, "Nome"},
		"GivenTwice":        {`"Name": "one"`, `"Name": "one", "Name": "two"`, "Name"},
		"NotJSON":           {"}", "", "EOF"},
		"NegativeAdmission": {`"LogLevel"`, `"AdmissionShare": -0.1, "LogLevel"`, "AdmissionShare"},
		"HugeAdmission":     {`"LogLevel"`, `"AdmissionShare": 1e9, "LogLevel"`, "AdmissionShare"},
		"TextAdmission":     {`"LogLevel"`, `"AdmissionShare": "1", "LogLevel"`, "AdmissionShare"},
		"Admission":         {`"LogLevel"`, `"AdmissionShare": 1, "LogLevel"`, ""},
		"WrongMemory":       {"284000000", "-5", "MemoryBytes"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			text := strings.Replace(settingsText, tt.old, tt.new, 1)
			must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			_, err := snipeentry.LoadSettings(path)
			if tt.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, snipeentry.ErrSettings)
			must.StrContains(t, err.Error(), path)
			must.StrContains(t, err.Error(), tt.want)
		})
	}
}
