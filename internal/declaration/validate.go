package declaration

import (
	"fmt"
	"math"
	"regexp"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Upper bounds. They keep every sum of amounts in a declaration within an int64.
const (
	maxCount    = 1_000_000
	maxCores    = 1e6
	maxMemoryGB = 1e9
	maxBodyMB   = 1024
	maxPercent  = 100
)

// namePattern matches valid names. Names appear in URLs, store keys and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate checks a provisioned declaration. The error is a ValidationErrors that lists
// all errors without positions; Document.Validate adds positions.
func (d *Declaration) Validate() error { return d.validationErrors().asError() }

// validator collects the errors of a declaration.
type validator struct {
	decl *Declaration
	errs ValidationErrors
}

// validationErrors returns all errors of the content.
func (d *Declaration) validationErrors() ValidationErrors {
	v := &validator{decl: d}
	v.header()
	v.dataCentres()
	v.services()
	v.dependencies()
	v.teams()
	v.batchClasses()
	v.limits()
	v.capacity()
	return v.errs
}

// addError records an error at path.
func (v *validator) addError(path, remedy, format string, args ...any) {
	v.errs = append(v.errs, ValidationError{Path: path, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (v *validator) header() {
	if v.decl.Version != SchemaVersion {
		v.addError("version", fmt.Sprintf("write version: %d", SchemaVersion), "version %d is not supported by this build", v.decl.Version)
	}
	if v.decl.Deployment == "" {
		v.addError("deployment", "add deployment: NAME", "the deployment is not named")
	}
	if len(v.decl.DataCentres) == 0 {
		v.addError("data_centres", "list at least one data centre", "there is no data centre")
	}
}

func (v *validator) dataCentres() {
	seen := map[model.DataCentre]bool{}
	for i, dc := range v.decl.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		checkName(v, path+".name", "data centre", dc.Name, seen)
		v.between(path+".cells", dc.Cells, 1, maxCount)
		v.between(path+".racks", dc.Racks, 0, maxCount)
		v.between(path+".workers_per_rack", dc.WorkersPerRack, 0, maxCount)
		v.amount(path+".worker", dc.Worker)
		v.equipment(path, dc)
	}
}

// equipment checks that a data centre's hardware is either completely stated or omitted.
func (v *validator) equipment(path string, dc DataCentre) {
	stated := dc.Racks != 0 || dc.WorkersPerRack != 0 || dc.Worker != Capacity{}
	if !stated {
		return
	}
	if dc.Workers() == 0 || dc.Worker.Cores == 0 || dc.Worker.MemoryGB == 0 {
		v.addError(path, "give racks, workers_per_rack, worker.cores and worker.memory_gb, or none of them",
			"the equipment of data centre %q is stated in part", dc.Name)
		return
	}
	if dc.Workers() > maxCount {
		v.addError(path+".workers_per_rack", "correct racks or workers_per_rack", "%d workers are more than the limit of %d", dc.Workers(), maxCount)
	}
	if dc.Cells > dc.Workers() {
		v.addError(path+".cells", fmt.Sprintf("write at most %d", dc.Workers()), "%d cells for %d workers", dc.Cells, dc.Workers())
	}
}

func (v *validator) services() {
	seen := map[model.ServiceName]bool{}
	for i, s := range v.decl.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(v, path+".name", "service", s.Name, seen)
		v.between(path+".runners", s.Runners, 1, maxCount)
		v.between(path+".slots_per_runner", s.SlotsPerRunner, 1, maxCount)
		v.between(path+".connections_per_runner", s.ConnectionsPerRunner, 1, maxCount)
		v.between(path+".queue_limit", s.QueueLimit, 1, maxCount)
		v.between(path+".max_body_mb", s.MaxBodyMB, 1, maxBodyMB)
		v.betweenOptional(path+".retry_budget_percent", s.RetryBudgetPercent, maxPercent)
		v.positive(path+".target_p99", s.TargetP99)
		v.positive(path+".default_timeout", s.DefaultTimeout)
		v.serviceRelations(path, s)
	}
}

// serviceRelations checks relations between the fields of a service.
func (v *validator) serviceRelations(path string, s Service) {
	if s.ConnectionsPerRunner > 0 && s.ConnectionsPerRunner < s.SlotsPerRunner {
		v.addError(path+".connections_per_runner", fmt.Sprintf("write at least %d", s.SlotsPerRunner),
			"%d connections cannot keep %d slots busy", s.ConnectionsPerRunner, s.SlotsPerRunner)
	}
	if s.DefaultTimeout > 0 && s.DefaultTimeout < s.TargetP99 {
		v.addError(path+".default_timeout", "write a timeout of at least target_p99",
			"the timeout %s is shorter than the target %s", s.DefaultTimeout.D(), s.TargetP99.D())
	}
}

func (v *validator) teams() {
	seen := map[model.TeamName]bool{}
	for i, t := range v.decl.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		checkName(v, path+".name", "team", t.Name, seen)
		v.amount(path+".quota", t.Quota)
		if t.Quota.Cores == 0 || t.Quota.MemoryGB == 0 {
			v.addError(path+".quota", "give quota cores and memory_gb above 0, or remove the team",
				"team %q can run nothing with a quota of %s", t.Name, t.Quota)
		}
	}
}

func (v *validator) batchClasses() {
	seen := map[model.ClassName]bool{}
	for i, c := range v.decl.BatchClasses {
		path := fmt.Sprintf("batch_classes[%d]", i)
		checkName(v, path+".name", "batch class", c.Name, seen)
		v.amount(path+".resources", c.Resources)
		v.betweenOptional(path+".max_retries", c.MaxRetries, maxCount)
		if _, err := ParseUrgency(c.Urgency); err != nil {
			v.addError(path+".urgency", "write bulk, normal, high or urgent", "unknown urgency %q", shorten(c.Urgency))
		}
	}
}

func (v *validator) limits() {
	l := v.decl.Limits
	v.between("limits.evictions_per_minute", l.EvictionsPerMinute, 1, maxCount)
	v.between("limits.drain_starts_per_second", l.DrainStartsPerSecond, 1, maxCount)
	v.between("limits.quarantine_failures", l.QuarantineFailures, 1, maxCount)
	v.positive("limits.claim_retention", l.ClaimRetention)
}

// between records an error when n is not between low and high.
func (v *validator) between(path string, n, low, high int) {
	if n < low || n > high {
		v.addError(path, fmt.Sprintf("write a number from %d to %d", low, high), "%d is out of range", n)
	}
}

// betweenOptional records an error when n is set and not between 0 and high.
func (v *validator) betweenOptional(path string, n *int, high int) {
	if n != nil {
		v.between(path, *n, 0, high)
	}
}

// positive records an error when d is not above zero.
func (v *validator) positive(path string, d Duration) {
	if d <= 0 {
		v.addError(path, "write a duration above 0", "%s is not a positive duration", d.D())
	}
}

// amount records errors for amounts that are negative, NaN or above their limits.
func (v *validator) amount(path string, c Capacity) {
	v.quantity(path+".cores", c.Cores, maxCores)
	v.quantity(path+".memory_gb", c.MemoryGB, maxMemoryGB)
	v.quantity(path+".accelerators", float64(c.Accelerators), maxCount)
}

func (v *validator) quantity(path string, n, high float64) {
	if math.IsNaN(n) || n < 0 || n > high {
		v.addError(path, fmt.Sprintf("write a number from 0 to %.0f", high), "%v is out of range", n)
	}
}

// checkName records an error for a missing, malformed or duplicate name.
func checkName[N ~string](v *validator, path, what string, name N, seen map[N]bool) {
	switch {
	case name == "":
		v.addError(path, "add name: NAME", "the %s has no name", what)
	case !namePattern.MatchString(string(name)):
		v.addError(path, "use 1 to 63 lower-case letters, digits and hyphens", "%q is not a valid name", shorten(string(name)))
	case seen[name]:
		v.addError(path, "rename or remove one of them", "%s %q is listed twice", what, name)
	}
	seen[name] = true
}

// ParseUrgency parses the urgency of a batch class.
func ParseUrgency(s string) (model.Urgency, error) {
	switch s {
	case "bulk":
		return model.UrgencyBulk, nil
	case "normal":
		return model.UrgencyNormal, nil
	case "high":
		return model.UrgencyHigh, nil
	case "urgent":
		return model.UrgencyUrgent, nil
	}
	return 0, model.Errorf(model.KindInvalid, "write bulk, normal, high or urgent", "unknown urgency %q", s)
}
