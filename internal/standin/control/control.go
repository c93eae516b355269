// Package control holds what the stand-ins' test controls share.
package control

import (
	"encoding/json"
	"net/http"
)

// Fault returns a handler that reads a fault and sets it. The function set takes
// the stand-in's lock itself.
func Fault[T any](set func(fault T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var fault T
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(fault)
	}
}
