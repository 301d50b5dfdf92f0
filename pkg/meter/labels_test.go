package meter

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func scrape(m *Meter) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestLabelCardinalityIsBounded records more organisations and routes than a label may
// have values. The metrics page must stay bounded, with the rest counted as others.
func TestLabelCardinalityIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 3 * maxOrganisations {
		m.ObserveResponse(fleet.OrganisationID(fmt.Sprintf("organisation-%d", i)), fleet.ClassNormal, 200, time.Millisecond)
		m.LabelledGauge("class_admitted_part", "route", fmt.Sprintf("route-%d", i)).Update(0.5)
	}
	is.NoErr(m.Close())
	page := scrape(m)
	is.Equal(strings.Count(page, "plantainramp_requests_served{"), maxOrganisations+1)
	is.Equal(strings.Count(page, "plantainramp_class_admitted_part{"), maxLabelValues+1)
	is.True(strings.Contains(page, fmt.Sprintf(`organisation="others",status="200"} %d`, 2*maxOrganisations)))
}

func TestObserveDecision(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ObserveDecision("answered", 3*time.Millisecond)
	m.ObserveDecision("full", 60*time.Millisecond)
	m.ObserveDecision("full", 60*time.Millisecond)
	is.NoErr(m.Close())
	is.True(strings.Contains(scrape(m), `plantainramp_calls_decided{outcome="full"} 2`))
	is.True(strings.Contains(scrape(m), `plantainramp_call_waited_seconds_bucket{outcome="answered",le="0.005"} 1`))
}
