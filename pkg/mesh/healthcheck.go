package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

const (
	// healthCheckDelay is how long the node waits for the directory before it asks the
	// instance whether it leaves.
	healthCheckDelay = 500 * time.Millisecond
	// healthCheckInterval is the time between two health checks, and healthCheckTimeout
	// bounds one.
	healthCheckInterval = time.Second
	healthCheckTimeout  = 700 * time.Millisecond
	// maxHeartbeatDelay is how late a heartbeat may arrive. An instance without a health
	// check has not departed if its heartbeats arrive for longer.
	maxHeartbeatDelay = 10 * time.Second
)

// runHealthChecks asks the instance whether it leaves while the directory, which would
// tell, cannot be read after a start of the node, until ctx ends. It answers the load
// pattern of a fleet that restarts while the store is partly down.
func (n *Node) runHealthChecks(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(healthCheckInterval), n.guarded("the health check", func() { n.checkHealth(ctx) }))
}

// checkHealth confirms the instance if it says that it does not leave. An instance in an
// evacuated data centre is not asked.
func (n *Node) checkHealth(ctx context.Context) {
	i, since, unconfirmed := n.heartbeats.Unconfirmed()
	view := n.view.Load()
	age := n.clock.Now().Sub(since)
	if !unconfirmed || view == nil || age < healthCheckDelay || n.evacuations.Has(n.settings.DataCentre) {
		return
	}
	path := view.HealthPath(n.settings.Service)
	if path == "" && age < maxHeartbeatDelay || path != "" && !n.isHealthy(ctx, path, i) {
		return
	}
	logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", i.Instance).WithField("path", path).Info("instance does not leave; the directory cannot be read")
	n.heartbeats.Confirm(i)
}

// isHealthy reports whether the instance says that it is healthy, which it is not once it
// leaves.
func (n *Node) isHealthy(ctx context.Context, path string, i fleet.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	call := &instance.Call{Method: http.MethodGet, Target: path, Host: n.settings.InstanceAddress, Idempotent: true, HealthCheck: true}
	response, err := n.instance.Do(ctx, call)
	if err != nil {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", i.Instance).WithError(err).Info("health check failed")
		return false
	}
	return response.Status == http.StatusOK && response.Header(n.platform.InstanceHeaders.InstanceID) == string(i.Instance)
}
