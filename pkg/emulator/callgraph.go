package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

type (
	// Service is a service and its instances.
	Service struct {
		Name      fleet.ServiceName
		Instances int
		// Slots is the number of calls that one instance can run at once.
		Slots int
		// WorkFactors multiply the work time, one factor per instance. With fewer
		// factors than instances they repeat from the first.
		WorkFactors []float64
		// KneeFraction is the fraction of slots in use above which the work time is
		// multiplied by KneeFactor; 0 disables this.
		KneeFraction, KneeFactor float64
	}

	// ChildCalls are the calls that one execution makes to another class.
	ChildCalls struct {
		Class routing.RouteName
		Count int
	}

	// Class describes one kind of request or call.
	Class struct {
		Name    routing.RouteName
		Service fleet.ServiceName
		// Rate is the number of client requests per second; 0 for a class that
		// only services call.
		Rate     float64
		Priority int
		// Worth is the value of a response within TargetLatency, LateWorth that of
		// a later response.
		Worth, LateWorth float64
		TargetLatency    time.Duration
		// Timeout is the time after which the caller gives up.
		Timeout time.Duration
		// Work is the mean time of one execution without its child calls, Spread
		// its standard deviation as a fraction of the mean.
		Work   time.Duration
		Spread float64
		// MaxRetries is how often a client retries a refused request.
		MaxRetries int
		Calls      []ChildCalls
		// Parallel makes all child calls of an execution start at once.
		Parallel bool
	}

	// CallGraph is a call graph and its usual load.
	CallGraph struct {
		Name        string
		DataCentres int
		Services    []*Service
		Classes     []*Class
	}
)

// ParseCallGraph parses a call graph file; name is the file name used in
// problems. It returns *inifile.InvalidError if the file has any problem.
func ParseCallGraph(name string, text []byte) (*CallGraph, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	header := f.Section("shape")
	g := &CallGraph{Name: header.Required("name", "a word"), DataCentres: header.Int("dataCentres", 3, 1, 100)}
	for _, section := range f.Sections("service") {
		g.Services = append(g.Services, readService(f.Section(section)))
	}
	for _, section := range f.Sections("class") {
		g.Classes = append(g.Classes, readClass(f.Section(section)))
	}
	g.validate(f)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return g, nil
}

// quotedName returns the name in a section header such as service "a".
func quotedName(section string) string {
	_, name, _ := strings.Cut(section, " ")
	return strings.Trim(name, `"`)
}

func readService(s *inifile.Section) *Service {
	v := &Service{
		Name: fleet.ServiceName(quotedName(s.Name())), Instances: s.Int("instances", 3, 1, 1000), Slots: s.Int("slots", 16, 1, 10000),
		KneeFraction: s.Float("knee", 0, 0, 1), KneeFactor: s.Float("kneeTimes", 1, 1, 100),
	}
	for _, text := range strings.Fields(s.String("speeds", "")) {
		factor, err := strconv.ParseFloat(text, 64)
		if err != nil || factor <= 0 {
			s.AddProblem("speeds", "is "+strconv.Quote(text), "numbers above 0")
			continue
		}
		v.WorkFactors = append(v.WorkFactors, factor)
	}
	if len(v.WorkFactors) == 0 {
		v.WorkFactors = []float64{1}
	}
	return v
}

func readClass(s *inifile.Section) *Class {
	c := &Class{
		Name: routing.RouteName(quotedName(s.Name())), Service: fleet.ServiceName(s.Required("service", "a service")),
		Rate: s.Float("rate", 0, 0, 1e6), Priority: s.Int("priority", 2, 0, 100),
		Worth: s.Float("worth", 1, 0, 1000), LateWorth: s.Float("lateWorth", 0.3, 0, 1000),
		TargetLatency: s.Duration("target", time.Second, time.Millisecond), Timeout: s.Duration("patience", 3*time.Second, time.Millisecond),
		Work: s.Duration("work", 10*time.Millisecond, time.Microsecond), Spread: s.Float("spread", 0.5, 0, 10),
		MaxRetries: s.Int("returns", 0, 0, 100), Parallel: s.Bool("together", false),
	}
	for _, text := range strings.Fields(s.String("calls", "")) {
		name, countText, _ := strings.Cut(text, ":")
		count, err := strconv.Atoi(countText)
		if err != nil || count < 1 {
			s.AddProblem("calls", "is "+strconv.Quote(text), "entries CLASS:TIMES")
			continue
		}
		c.Calls = append(c.Calls, ChildCalls{Class: routing.RouteName(name), Count: count})
	}
	return c
}

// validate adds a problem for each unknown name and each cycle of calls.
func (g *CallGraph) validate(f *inifile.File) {
	for _, c := range g.Classes {
		section := fmt.Sprintf("class %q", c.Name)
		if g.service(c.Service) == nil {
			f.AddProblem(section, "service", "is "+strconv.Quote(string(c.Service)), "a service of this file")
		}
		for _, child := range c.Calls {
			if g.class(child.Class) == nil {
				f.AddProblem(section, "calls", "has "+strconv.Quote(string(child.Class)), "classes of this file")
			}
		}
		if g.isRecursive(c, nil) {
			f.AddProblem(section, "calls", "leads to a cycle of calls", "calls without a cycle")
		}
	}
}

// isRecursive reports whether the calls of a class lead to a cycle. ancestors are
// the classes through which it was reached.
func (g *CallGraph) isRecursive(c *Class, ancestors []*Class) bool {
	if c == nil {
		return false
	}
	if slices.Contains(ancestors, c) {
		return true
	}
	ancestors = append(slices.Clone(ancestors), c)
	return slices.ContainsFunc(c.Calls, func(child ChildCalls) bool { return g.isRecursive(g.class(child.Class), ancestors) })
}

func (g *CallGraph) service(name fleet.ServiceName) *Service {
	if i := slices.IndexFunc(g.Services, func(v *Service) bool { return v.Name == name }); i >= 0 {
		return g.Services[i]
	}
	return nil
}

func (g *CallGraph) class(name routing.RouteName) *Class {
	if i := slices.IndexFunc(g.Classes, func(c *Class) bool { return c.Name == name }); i >= 0 {
		return g.Classes[i]
	}
	return nil
}

// Cost returns the slot time in seconds that one execution of a class uses at
// each service, child calls included, for a work factor of 1 and without waiting.
// A slot is held during the child calls.
func (g *CallGraph) Cost(c *Class) map[fleet.ServiceName]float64 {
	cost := map[fleet.ServiceName]float64{}
	g.addCost(c, 1, cost)
	return cost
}

// addCost adds the cost of the given number of executions of a class and returns
// the duration of one.
func (g *CallGraph) addCost(c *Class, executions float64, cost map[fleet.ServiceName]float64) time.Duration {
	duration := c.Work
	longest := time.Duration(0)
	for _, child := range c.Calls {
		childDuration := g.addCost(g.class(child.Class), executions*float64(child.Count), cost)
		longest = max(longest, childDuration)
		if !c.Parallel {
			duration += time.Duration(child.Count) * childDuration
		}
	}
	if c.Parallel {
		duration += longest
	}
	cost[c.Service] += executions * duration.Seconds()
	return duration
}

// Bottleneck returns the service that uses the largest fraction of its slots
// under the usual load, and that fraction.
func (g *CallGraph) Bottleneck() (*Service, float64) {
	slotsUsed := map[fleet.ServiceName]float64{}
	for _, c := range g.Classes {
		for name, cost := range g.Cost(c) {
			slotsUsed[name] += c.Rate * cost
		}
	}
	var bottleneck *Service
	highest := 0.0
	for _, v := range g.Services {
		if utilisation := slotsUsed[v.Name] / float64(v.Instances*v.Slots); bottleneck == nil || utilisation > highest {
			bottleneck, highest = v, utilisation
		}
	}
	return bottleneck, highest
}
