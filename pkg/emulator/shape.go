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
	// Service is a service with its instances.
	Service struct {
		Name      fleet.ServiceName
		Instances int
		// Slots is what one instance runs at once.
		Slots int
		// Speeds holds, for one instance after the other, how many times its work takes.
		Speeds []float64
		// Knee is the part of the slots above which work takes KneeTimes as long; 0 for none.
		Knee, KneeTimes float64
	}

	// Calls tells that a run calls another class.
	Calls struct {
		Class routing.RouteName
		Times int
	}

	// Class is a kind of request or call.
	Class struct {
		Name    routing.RouteName
		Service fleet.ServiceName
		// Rate is the requests of clients a second; 0 for calls between services.
		Rate     float64
		Priority int
		// Worth is what an answer within Target is worth, LateWorth what a later one is.
		Worth, LateWorth float64
		Target           time.Duration
		// Patience is when the caller gives up.
		Patience time.Duration
		// Work is the mean time of one run without its calls, Spread its deviation as a part of it.
		Work   time.Duration
		Spread float64
		// Returns is how often a client comes back after a refusal.
		Returns int
		Calls   []Calls
		// Together tells that all calls of a run are made at once.
		Together bool
	}

	// Shape is a call graph with its usual load.
	Shape struct {
		Name        string
		DataCentres int
		Services    []*Service
		Classes     []*Class
	}
)

// ParseShape reads a shape. It returns *inifile.InvalidError.
func ParseShape(name string, text []byte) (*Shape, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	head := f.Section("shape")
	s := &Shape{Name: head.Required("name", "a word"), DataCentres: head.Int("dataCentres", 3, 1, 100)}
	for _, section := range f.Sections("service") {
		s.Services = append(s.Services, readService(f.Section(section)))
	}
	for _, section := range f.Sections("class") {
		s.Classes = append(s.Classes, readClass(f.Section(section)))
	}
	s.check(f)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

// quoted returns the name in a section's head.
func quoted(section string) string {
	_, name, _ := strings.Cut(section, " ")
	return strings.Trim(name, `"`)
}

func readService(s *inifile.Section) *Service {
	v := &Service{
		Name: fleet.ServiceName(quoted(s.Name())), Instances: s.Int("instances", 3, 1, 1000), Slots: s.Int("slots", 16, 1, 10000),
		Knee: s.Float("knee", 0, 0, 1), KneeTimes: s.Float("kneeTimes", 1, 1, 100),
	}
	for _, text := range strings.Fields(s.String("speeds", "")) {
		speed, err := strconv.ParseFloat(text, 64)
		if err != nil || speed <= 0 {
			s.AddProblem("speeds", "is "+strconv.Quote(text), "numbers above 0")
			continue
		}
		v.Speeds = append(v.Speeds, speed)
	}
	if len(v.Speeds) == 0 {
		v.Speeds = []float64{1}
	}
	return v
}

func readClass(s *inifile.Section) *Class {
	c := &Class{
		Name: routing.RouteName(quoted(s.Name())), Service: fleet.ServiceName(s.Required("service", "a service")),
		Rate: s.Float("rate", 0, 0, 1e6), Priority: s.Int("priority", 2, 0, 100),
		Worth: s.Float("worth", 1, 0, 1000), LateWorth: s.Float("lateWorth", 0.3, 0, 1000),
		Target: s.Duration("target", time.Second, time.Millisecond), Patience: s.Duration("patience", 3*time.Second, time.Millisecond),
		Work: s.Duration("work", 10*time.Millisecond, time.Microsecond), Spread: s.Float("spread", 0.5, 0, 10),
		Returns: s.Int("returns", 0, 0, 100), Together: s.Bool("together", false),
	}
	for _, text := range strings.Fields(s.String("calls", "")) {
		name, count, _ := strings.Cut(text, ":")
		times, err := strconv.Atoi(count)
		if err != nil || times < 1 {
			s.AddProblem("calls", "is "+strconv.Quote(text), "entries CLASS:TIMES")
			continue
		}
		c.Calls = append(c.Calls, Calls{Class: routing.RouteName(name), Times: times})
	}
	return c
}

// check finds names that lead nowhere and calls that lead back to their caller.
func (s *Shape) check(f *inifile.File) {
	for _, c := range s.Classes {
		section := fmt.Sprintf("class %q", c.Name)
		if s.service(c.Service) == nil {
			f.AddProblem(section, "service", "is "+strconv.Quote(string(c.Service)), "a service of this file")
		}
		for _, calls := range c.Calls {
			if s.class(calls.Class) == nil {
				f.AddProblem(section, "calls", "has "+strconv.Quote(string(calls.Class)), "classes of this file")
			}
		}
		if s.leadsBack(c, nil) {
			f.AddProblem(section, "calls", "leads back to itself", "calls without a circle")
		}
	}
}

func (s *Shape) leadsBack(c *Class, above []*Class) bool {
	if c == nil {
		return false
	}
	if slices.Contains(above, c) {
		return true
	}
	above = append(slices.Clone(above), c)
	return slices.ContainsFunc(c.Calls, func(calls Calls) bool { return s.leadsBack(s.class(calls.Class), above) })
}

func (s *Shape) service(name fleet.ServiceName) *Service {
	if i := slices.IndexFunc(s.Services, func(v *Service) bool { return v.Name == name }); i >= 0 {
		return s.Services[i]
	}
	return nil
}

func (s *Shape) class(name routing.RouteName) *Class {
	if i := slices.IndexFunc(s.Classes, func(c *Class) bool { return c.Name == name }); i >= 0 {
		return s.Classes[i]
	}
	return nil
}

// Cost returns the slot time in seconds that one run of a class takes at each
// service, at usual speed and without waiting.
func (s *Shape) Cost(c *Class) map[fleet.ServiceName]float64 {
	cost := map[fleet.ServiceName]float64{}
	s.addCost(c, 1, cost)
	return cost
}

// addCost adds the cost of some runs and returns how long one lasts.
func (s *Shape) addCost(c *Class, times float64, cost map[fleet.ServiceName]float64) time.Duration {
	lasts := c.Work
	longest := time.Duration(0)
	for _, calls := range c.Calls {
		each := s.addCost(s.class(calls.Class), times*float64(calls.Times), cost)
		longest = max(longest, each)
		if !c.Together {
			lasts += time.Duration(calls.Times) * each
		}
	}
	if c.Together {
		lasts += longest
	}
	cost[c.Service] += times * lasts.Seconds()
	return lasts
}

// Bottleneck returns the service whose slots the usual load fills most, and that part.
func (s *Shape) Bottleneck() (*Service, float64) {
	use := map[fleet.ServiceName]float64{}
	for _, c := range s.Classes {
		for name, cost := range s.Cost(c) {
			use[name] += c.Rate * cost
		}
	}
	var fullest *Service
	most := 0.0
	for _, v := range s.Services {
		if full := use[v.Name] / float64(v.Instances*v.Slots); fullest == nil || full > most {
			fullest, most = v, full
		}
	}
	return fullest, most
}
