// Package control contains the endpoint with which tests set the faults of the fake
// servers.
package control

import (
	"encoding/json"
	"net/http"
)

// FaultHandler returns a handler that decodes a fault from the request body and passes it to
// set. The function set must lock the server itself.
func FaultHandler[T any](set func(fault T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var fault T
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(fault)
	}
}
