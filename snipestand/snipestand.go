// Package snipestand provides small emulators (stand-ins) of the external systems: the platform
// (table service, weight store, instance list), model engines, plain services, and the store and
// the upstreams of the co-operative platform.
//
// Tests, the demonstration and benchmarks use them. Each emulator implements only what a checked
// guarantee or a measurement needs. The engine and the platform accept faults over HTTP: POST
// /Fault with the JSON form of the fault type replaces the faults in force.
package snipestand

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBody is the largest request body that an emulator reads, in bytes.
const maxBody = 16 << 20

// readJSON decodes the request body into v. If that fails, it answers 400 and reports false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, which an emulator ignores.
	_ = json.NewEncoder(w).Encode(v)
}
