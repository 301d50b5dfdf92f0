package entrance

import (
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/retrybudget"
)

// addRequest adds what a request of a client earns.
func (b *retryBudget) addRequest(service fleet.ServiceName) { b.addCall(service, 0) }

// take spends a token on a call whose run is not known.
func (b *retryBudget) take(service fleet.ServiceName) bool {
	return b.takeFor(service, retrybudget.Call{}) == RetrySpent
}
