// Package snipestand holds small stand-ins for the systems outside: the
// platform (table service, weight store), model engines and plain services.
//
// They exist for tests, the demonstration and benchmarks. Each does only as
// much as a promise or a measurement needs. Faults are switched over HTTP, at
// POST /Fault, with the JSON form of the stand-in's Fault type.
package snipestand

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBody bounds what a stand-in reads of one request.
const maxBody = 16 << 20

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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; a stand-in has nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
