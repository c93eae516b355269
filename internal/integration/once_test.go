package integration

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestBookingRunsOnceWhenItsHomeFreezes(t *testing.T) {
	f := startSmallFleet(t)
	home := homeOf(t, f.daemons["d1"], "l1")
	entry := f.otherDaemon(home)
	f.daemons[home].freeze()
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	booked := call(context.Background(), entry, http.MethodPost, "/ledger/bookings", header, "one catch")
	must.Eq(t, http.StatusOK, booked.status)
	f.daemons[home].thaw()
	f.awaitSettled(1)
	must.Len(t, 1, serviceRecords(t, f.engines["l1"]))
}
