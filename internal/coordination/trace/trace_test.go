package trace

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

func TestOrdinaryRequestsDoNotEvictRefusedOnes(t *testing.T) {
	log := NewLog()
	log.Add(&Record{ID: "refused", Reason: refusal.EngineBusy})
	for i := range ordinaryRecords + 1 {
		log.Add(&Record{ID: fmt.Sprint(i)})
	}
	must.NotNil(t, log.Find("refused"))
	must.NotNil(t, log.Find(fmt.Sprint(ordinaryRecords)))
	must.Nil(t, log.Find("0"))
}
