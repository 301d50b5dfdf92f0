package acceptance

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// standardServices is the ticket text of the services in every scenario that uses
// begin.
const standardServices = `[service "showcase"]
against = 0
route = GET /homes/* normal idempotent
route = GET /deep/* normal idempotent
route = GET /fan/* normal idempotent
[service "calendar"]
against = 0
route = GET /days* normal idempotent
route = GET /open normal idempotent open
route = POST /note normal
[service "agreements"]
against = 0
route = GET /held* normal idempotent
route = POST /confirm* critical
[service "ledger"]
against = 0
route = GET /* low idempotent
`

// fileInitialTicket implements begin ORGANISATION=RATE/BURST..., which creates a key
// named ORGANISATION-1 for each organisation and files ticket 1 with the organisations,
// their keys and the standard services.
func (h *harness) fileInitialTicket(args []string) error {
	var content strings.Builder
	content.WriteString("[ticket]\nnumber = 1\nauthor = awa\nreason = start\n")
	for _, arg := range args {
		name, amounts, _ := strings.Cut(arg, "=")
		perSecond, burst, _ := strings.Cut(amounts, "/")
		if err := h.createKey([]string{name + "-1"}); err != nil {
			return err
		}
		fmt.Fprintf(&content, "[organisation %q]\nagainst = 0\nrate = %s\nburst = %s\n", name, perSecond, burst)
		fmt.Fprintf(&content, "[key %q]\nagainst = 0\norganisation = %s\ndigest = ${%s_1_digest}\n", name+"-1", name, name)
	}
	content.WriteString(standardServices)
	if err := os.WriteFile(h.script.MkAbs("begin.ticket"), []byte(content.String()), 0o600); err != nil {
		return err
	}
	return h.fileTicket([]string{"begin.ticket"})
}

// fileTicket implements ticket FILE [CODE], which files a ticket after replacing
// ${NAME} by variables of the script, and checks the exit code, 0 by default.
func (h *harness) fileTicket(args []string) error {
	content := os.Expand(h.script.ReadFile(args[0]), h.script.Getenv)
	cmd := exec.Command(binaryDir+"/plantainramp", "ticket", "file", "-")
	cmd.Stdin = strings.NewReader(content)
	cmd.Env = []string{"PLANTAINRAMP_LOG=" + h.script.Getenv("PLANTAINRAMP_LOG"), "PLANTAINRAMP_NODE=" + h.script.Getenv("PLANTAINRAMP_NODE")}
	out, _ := cmd.CombinedOutput()
	want := 0
	if len(args) > 1 {
		want, _ = strconv.Atoi(args[1])
	}
	if code := cmd.ProcessState.ExitCode(); code != want {
		return fmt.Errorf("ticket file exited with code %d, want %d: %s", code, want, out)
	}
	h.script.Logf("%s", out)
	return nil
}
