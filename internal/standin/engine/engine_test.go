package engine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestUrgentRequestsSlowTheOthersDown(t *testing.T) {
	server := New(Config{Capacity: 4, TokenInterval: time.Second})
	server.running = 2
	server.runningByPriority = map[string]int{"u=0": 1, "u=7": 1}
	must.Eq(t, 1500*time.Millisecond, server.tokenInterval("u=0"))
	must.Eq(t, 1750*time.Millisecond, server.tokenInterval("u=7"))
}
