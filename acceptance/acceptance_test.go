// Package acceptance checks the guarantees of the system with scripted scenarios
// that run real processes. The scripts are in testdata; the commands that they use
// are defined here and described in docs/GUARANTEES.md.
package acceptance

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/semaphore"
)

// binaryDir is the folder of the built binaryDir.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs and runs the tests; it returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "plantainramp")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// coresPerScenario is the number of processor cores that each concurrent scenario
// needs. With fewer, scenarios compete for the processor, and their time limits no
// longer measure the system.
const coresPerScenario = 3

var (
	// maxConcurrent is the number of scenarios that may run concurrently.
	maxConcurrent = int64(max(runtime.NumCPU()/coresPerScenario, 1))
	scenarioSlots = semaphore.NewWeighted(maxConcurrent)
	// exclusive matches the names of scenarios that load the processor; each of
	// them runs alone.
	exclusive = regexp.MustCompile("shedding|retries|whole|rate")
)

// acquireSlots waits until a scenario may run, and returns the function that
// releases its slots.
func acquireSlots(env *testscript.Env) (func(), error) {
	weight := int64(1)
	if exclusive.MatchString(filepath.Base(env.WorkDir)) {
		weight = maxConcurrent
	}
	return func() { scenarioSlots.Release(weight) }, scenarioSlots.Acquire(context.Background(), weight)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			release, err := acquireSlots(env)
			if err != nil {
				return err
			}
			h := newHarness(env)
			env.Values[harnessKey{}] = h
			env.Defer(func() {
				h.close()
				release()
			})
			return nil
		},
		Cmds: scriptCommands(),
	})
}

// harnessKey is the key of a scenario's harness in its environment.
type harnessKey struct{}

// scriptCommand is a script command that returns an error instead of failing the
// script, so that await can retry it.
type scriptCommand func(h *harness, args []string) error

// scriptCommands returns the commands of the scenarios. Two of them are defined here:
// pause DURATION, and await TIMEOUT COMMAND..., which retries a command until it
// succeeds.
func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	handlers := map[string]scriptCommand{
		"log": (*harness).startLog, "node": (*harness).startInstance, "ready": (*harness).waitForMembers, "key": (*harness).createKey,
		"signal": (*harness).sendSignal, "exits": (*harness).waitForExit, "faults": (*harness).setLogFaults, "behave": (*harness).setBehaviour,
		"relay": (*harness).setRelayState, "call": (*harness).callNode, "storm": (*harness).sendLoad, "ran": (*harness).checkReceivedCount,
		"within": (*harness).checkRateLimit, "once": (*harness).checkAtMostOnce, "hidden": (*harness).checkKeyHidden, "truthful": (*harness).checkNotExecuted,
		"total": (*harness).checkResultCount, "agree": (*harness).checkSameState, "peercall": (*harness).sendForgedPeerCall, "remember": (*harness).saveReceivedCount,
		"restart": (*harness).restartInstance, "cut": (*harness).setPartition, "calm": (*harness).waitForLoad, "forget": (*harness).clearResults, "begin": (*harness).fileInitialTicket, "ticket": (*harness).fileTicket,
	}
	scripts := map[string]func(*testscript.TestScript, bool, []string){
		"pause": func(ts *testscript.TestScript, _ bool, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			time.Sleep(d)
		},
		"await": func(ts *testscript.TestScript, _ bool, args []string) {
			h := ts.Value(harnessKey{}).(*harness)
			timeout, err := time.ParseDuration(args[0])
			ts.Check(err)
			ts.Check(await(timeout, func() error { return handlers[args[1]](h, args[2:]) }))
		},
	}
	for name, handler := range handlers {
		scripts[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			h := ts.Value(harnessKey{}).(*harness)
			h.script = ts
			err := handler(h, args)
			if neg && err == nil {
				ts.Fatalf("%s succeeded, want failure", name)
			}
			if neg {
				ts.Logf("failed as expected: %v", err)
				return
			}
			ts.Check(err)
		}
	}
	return scripts
}

// await retries attempt until it succeeds; after timeout it returns the last error.
func await(timeout time.Duration, attempt func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
