package ticket_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const validTicket = `[ticket]
number = 12
author = awa
reason = holiday
[organisation "dakar"]
against = 7
rate = 40
burst = 80
[service "calendar"]
against = 0
route = GET /days* normal idempotent
route = POST /note critical
`

func TestParse(t *testing.T) {
	is := is.New(t)
	tk, err := ticket.Parse("12.ticket", []byte(validTicket))
	is.NoErr(err)
	is.Equal(tk.Number, fleet.TicketNumber(12))
	is.Equal(tk.Against[ticket.Ref{Kind: ticket.KindOrganisation, Name: "dakar"}], fleet.TicketNumber(7))
	is.Equal(tk.Organisations[0].Weight, 1.0)
	is.Equal(len(tk.Services[0].Routes), 2)
	is.True(tk.Services[0].Route("GET", "/days/3").Idempotent)
	is.True(tk.Services[0].Route("DELETE", "/days/3") == nil)
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "burst = 80", "burst = 80\ncolour = red", `9: unknown key "colour"`},
		{"unknown kind", `[organisation "dakar"]`, `[tenant "dakar"]`, `5: unknown kind of object "tenant"`},
		{"missing against", "against = 7\n", "", `"against" is missing in [organisation "dakar"]`},
		{"rate not a number", "rate = 40", "rate = fast", `7: rate = "fast"`},
		{"route of an unknown class", "POST /note critical", "POST /note urgent", `route = "POST /note urgent"`},
		{"dot-dot in a route", "/days*", "/a/../b", `route = "GET /a/../b normal idempotent"`},
		{"number 0", "number = 12", "number = 0", `2: number = "0"`},
		{"duplicate section", "[service", "[organisation \"dakar\"]\n[service", "stands twice"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ticket.Parse("12.ticket", []byte(strings.Replace(validTicket, tt.old, tt.new, 1)))
			var invalid *inifile.InvalidError
			is.True(errors.As(err, &invalid))
			is.True(strings.Contains(err.Error(), tt.want)) // reports the line and the problem
		})
	}
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	key, digest := ticket.NewKey("dakar-1")
	id, secret, ok := ticket.SplitKey(key)
	is.True(ok)
	is.Equal(id, fleet.KeyID("dakar-1"))
	is.True(digest.Matches(secret))
	is.True(!digest.Matches(secret + "0"))
	is.True(!strings.Contains(string(digest), secret))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTicket))
	f.Add([]byte("[ticket]\nnumber=1\n[key \"a\"]\nagainst=0"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tk, err := ticket.Parse("fuzz", text)
		if err == nil && (tk.Number == 0 || len(tk.Against) == 0) {
			t.Fatalf("accepted a ticket without a number or objects: %q", text)
		}
	})
}
