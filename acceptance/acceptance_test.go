// Package acceptance proves what must always hold by scripted scenarios over
// real processes. The scripts are in testdata; the commands that they use are
// defined here and described in docs/GUARANTEES.md.
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

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "plantainramp")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	programs = folder
	return m.Run()
}

// coresEach is the number of processor cores that a scenario at a time needs.
// With fewer, scenarios compete and their bounds in seconds mean nothing.
const coresEach = 3

var (
	// lanes is the number of scenarios that may run at a time.
	lanes = int64(max(runtime.NumCPU()/coresEach, 1))
	gate  = semaphore.NewWeighted(lanes)
	// alone matches the scenarios that load the machine, which take all lanes.
	alone = regexp.MustCompile("shedding|retries|whole|rate")
)

// enter waits for a scenario's turn and returns what ends it.
func enter(env *testscript.Env) (func(), error) {
	weight := int64(1)
	if alone.MatchString(filepath.Base(env.WorkDir)) {
		weight = lanes
	}
	return func() { gate.Release(weight) }, gate.Acquire(context.Background(), weight)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			leave, err := enter(env)
			if err != nil {
				return err
			}
			w := newWorld(env)
			env.Values[worldKey{}] = w
			env.Defer(func() {
				w.close()
				leave()
			})
			return nil
		},
		Cmds: commands(),
	})
}

type worldKey struct{}

// command is a script command that reports an error instead of failing, so that
// await can repeat it.
type command func(w *world, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"log": (*world).startLog, "node": (*world).startNode, "ready": (*world).ready, "key": (*world).makeKey,
		"signal": (*world).signal, "exits": (*world).exits, "faults": (*world).faults, "behave": (*world).behave,
		"relay": (*world).setRelay, "call": (*world).call, "storm": (*world).storm, "ran": (*world).ran,
		"within": (*world).within, "once": (*world).once, "hidden": (*world).hidden, "truthful": (*world).truthful,
		"total": (*world).total, "agree": (*world).agree, "peercall": (*world).peercall, "remember": (*world).remember,
		"restart": (*world).restart, "cut": (*world).cut, "calm": (*world).calm, "forget": (*world).forget, "begin": (*world).begin, "ticket": (*world).ticket,
	}
	scripts := map[string]func(*testscript.TestScript, bool, []string){
		"pause": func(ts *testscript.TestScript, _ bool, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			time.Sleep(d)
		},
		"await": func(ts *testscript.TestScript, _ bool, args []string) {
			w := ts.Value(worldKey{}).(*world)
			limit, err := time.ParseDuration(args[0])
			ts.Check(err)
			ts.Check(await(limit, func() error { return table[args[1]](w, args[2:]) }))
		},
	}
	for name, run := range table {
		scripts[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := ts.Value(worldKey{}).(*world)
			w.script = ts
			err := run(w, args)
			if neg && err == nil {
				ts.Fatalf("%s succeeded, but must not", name)
			}
			if neg {
				ts.Logf("failed as it must: %v", err)
				return
			}
			ts.Check(err)
		}
	}
	return scripts
}

// await repeats work until it succeeds; it returns the last error after limit.
func await(limit time.Duration, work func() error) error {
	end := time.Now().Add(limit)
	for {
		err := work()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
