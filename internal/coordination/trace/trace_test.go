package trace

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

func TestOrdinaryRequestsDoNotPushOutUnusualOnes(t *testing.T) {
	log := NewLog()
	log.Add(&Request{ID: "refused", Reason: refusal.EngineBusy})
	for i := range recentEntries + 1 {
		log.Add(&Request{ID: fmt.Sprint(i)})
	}
	must.NotNil(t, log.Find("refused"))
	must.NotNil(t, log.Find(fmt.Sprint(recentEntries)))
	must.Nil(t, log.Find("0"))
}
