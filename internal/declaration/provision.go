package declaration

import "time"

// Defaults that Provision fills in. The doc comments of the fields in types.go state the
// same values.
const (
	defaultCells                = 1
	defaultSlotsPerRunner       = 8
	defaultConnectionsPerRunner = 64
	defaultTargetP99            = Duration(500 * time.Millisecond)
	defaultTimeout              = Duration(5 * time.Second)
	defaultRetryBudgetPercent   = 10
	defaultQueueLimit           = 128
	defaultMaxBodyMB            = 64
	defaultUrgency              = "normal"
	defaultMaxRetries           = 3
	defaultEvictionsPerMinute   = 6
	defaultDrainStartsPerSecond = 20
	defaultQuarantineFailures   = 5
	defaultClaimRetention       = Duration(72 * time.Hour)
)

// Provision sets each unset field to its default. It is idempotent.
func (d *Declaration) Provision() {
	for i := range d.DataCentres {
		setDefault(&d.DataCentres[i].Cells, defaultCells)
	}
	for i := range d.Services {
		d.Services[i].provision()
	}
	for i := range d.BatchClasses {
		d.BatchClasses[i].provision()
	}
	d.Limits.provision()
}

func (s *Service) provision() {
	setDefault(&s.SlotsPerRunner, defaultSlotsPerRunner)
	setDefault(&s.ConnectionsPerRunner, defaultConnectionsPerRunner)
	setDefault(&s.TargetP99, defaultTargetP99)
	setDefault(&s.DefaultTimeout, defaultTimeout)
	setDefault(&s.QueueLimit, defaultQueueLimit)
	setDefault(&s.MaxBodyMB, defaultMaxBodyMB)
	setDefaultPointer(&s.RetryBudgetPercent, defaultRetryBudgetPercent)
}

func (c *BatchClass) provision() {
	setDefault(&c.Urgency, defaultUrgency)
	setDefaultPointer(&c.MaxRetries, defaultMaxRetries)
}

func (l *Limits) provision() {
	setDefault(&l.EvictionsPerMinute, defaultEvictionsPerMinute)
	setDefault(&l.DrainStartsPerSecond, defaultDrainStartsPerSecond)
	setDefault(&l.QuarantineFailures, defaultQuarantineFailures)
	setDefault(&l.ClaimRetention, defaultClaimRetention)
}

// setDefault sets *field to value when it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// setDefaultPointer sets *field to value when it is nil, so that an explicit zero is kept.
func setDefaultPointer(field **int, value int) {
	if *field == nil {
		*field = &value
	}
}
