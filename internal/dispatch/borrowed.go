package dispatch

// borrowed counts this gateway's jobs at an endpoint by the owner that granted them.
type borrowed map[string]int

// orphaned returns the number of jobs whose owner is no longer alive. The next owner knows of
// them only if this gateway reports them as its own load.
func (b borrowed) orphaned(alive map[string]float64) int {
	jobs := 0
	for owner, count := range b {
		if _, exists := alive[owner]; !exists {
			jobs += count
		}
	}
	return jobs
}

// trackBorrowed counts the job of a grant by an owner of the cell until the grant is released.
func (d *Dispatcher) trackBorrowed(grant *Grant, owner string) {
	d.addBorrowed(grant.Endpoint.ID, owner, 1)
	record := grant.record
	grant.record = func(outcome Outcome) {
		if outcome == Released {
			d.addBorrowed(grant.Endpoint.ID, owner, -1)
		}
		record(outcome)
	}
}

func (d *Dispatcher) addBorrowed(endpoint, owner string, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state(endpoint)
	if state.borrowed == nil {
		state.borrowed = borrowed{}
	}
	state.borrowed[owner] += change
	if state.borrowed[owner] == 0 {
		delete(state.borrowed, owner)
	}
}
