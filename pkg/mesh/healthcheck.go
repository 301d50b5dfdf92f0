package mesh

import (
	"context"
	"net/http"
	"time"

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
)

// healthChecks holds the state of the checks whether the instance leaves.
type healthChecks struct {
	// wake ends the wait for the next check: the answer may be needed or possible now.
	wake wakeSignal
	// sentAt is when the last check of the incarnation checked was sent; only
	// runHealthChecks uses them.
	sentAt  time.Time
	checked fleet.Incarnation
}

// healthPath returns the path of the health checks of the local service, which is empty if it
// has none, and whether that is known.
func (n *Node) healthPath() (path string, known bool) {
	view := n.view.Load()
	if view == nil {
		return "", false
	}
	return view.HealthPath(n.settings.Service), true
}

// runHealthChecks asks the instance after a start of the node whether it leaves, until ctx
// ends. It answers the load pattern of nodes that restart beside instances that have departed,
// of which the directory may not know.
func (n *Node) runHealthChecks(ctx context.Context) {
	wait := healthCheckInterval
	check := n.guarded("the health check", func() { wait = n.checkHealth(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.healthChecks.wake:
		case <-n.clock.After(wait):
		}
		wait = healthCheckInterval
		check(ctx)
	}
}

// checkHealth confirms the instance if it says that it does not leave, and returns after which
// time to call it again. An instance in an evacuated data centre is not asked.
func (n *Node) checkHealth(ctx context.Context) time.Duration {
	i, since, unconfirmed := n.heartbeats.Unconfirmed()
	path, _ := n.healthPath()
	if !unconfirmed || path == "" || n.evacuations.Has(n.settings.DataCentre) {
		return healthCheckInterval
	}
	now, c := n.clock.Now(), &n.healthChecks
	if age := now.Sub(since); !n.directory.Loaded() && age < healthCheckDelay {
		return healthCheckDelay - age
	}
	if age := now.Sub(c.sentAt); c.checked == i && age < healthCheckInterval {
		return healthCheckInterval - age
	}
	c.checked, c.sentAt = i, now
	if n.isHealthy(ctx, path, i) {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", i.Instance).WithField("path", path).Info("instance says that it does not leave")
		n.heartbeats.Confirm(i)
	}
	return healthCheckInterval
}

// isHealthy reports whether the instance says that it is healthy, which it is not once it
// leaves.
func (n *Node) isHealthy(ctx context.Context, path string, i fleet.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	call := &instance.Call{Method: http.MethodGet, Target: path, Host: n.settings.InstanceAddress, Idempotent: true, HealthCheck: true}
	logger := logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", i.Instance)
	response, err := n.instance.Do(ctx, call)
	if err != nil {
		logger.WithError(err).Info("health check failed; the gate stays closed")
		return false
	}
	answeredBy := response.Header(n.platform.InstanceHeaders.InstanceID)
	if response.Status != http.StatusOK || answeredBy != string(i.Instance) {
		logger.WithField("status", response.Status).WithField("answeredBy", answeredBy).Info("instance may leave; the gate stays closed")
		return false
	}
	return true
}
