package capacity

// Size describes a deployment to which costs are projected.
type Size struct {
	Upstreams           int
	StartsPerSecond     int
	TasksPerJob         int
	DataCentres         int
	Callers             int
	ConfigChangesPerDay int
	// MaxStartsPerVM is the maximum rate of task starts of one entry VM.
	MaxStartsPerVM int
	// Utilization is the planned share of MaxStartsPerVM. The rest is headroom
	// for the load of failed VMs.
	Utilization float64
}

// TargetSize is the deployment size that the design targets.
var TargetSize = Size{
	Upstreams: 20_000, StartsPerSecond: 1_800_000, TasksPerJob: 10, DataCentres: 19,
	Callers: 240, ConfigChangesPerDay: 47_000, MaxStartsPerVM: 20_000, Utilization: 0.6,
}

// UpstreamsPerDataCentre returns the mean number of upstreams of a data centre.
func (s Size) UpstreamsPerDataCentre() float64 { return float64(s.Upstreams) / float64(s.DataCentres) }

// VMs returns the number of entry VMs.
func (s Size) VMs() float64 {
	return float64(s.StartsPerSecond) / (float64(s.MaxStartsPerVM) * s.Utilization)
}

// VMsPerDataCentre returns the mean number of entry VMs of a data centre.
func (s Size) VMsPerDataCentre() float64 { return s.VMs() / float64(s.DataCentres) }

// JobsPerVM returns the number of jobs per second of one entry VM.
func (s Size) JobsPerVM() float64 {
	return float64(s.StartsPerSecond) / float64(s.TasksPerJob) / s.VMs()
}

// startsPerVM returns the number of task starts per second of one entry VM.
func (s Size) startsPerVM() float64 { return float64(s.StartsPerSecond) / s.VMs() }
