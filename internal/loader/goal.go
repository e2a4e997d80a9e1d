package loader

// goal is a version of the engine's model. Version 0 means the newest one that the
// origin has, when the operators named none.
type goal struct {
	model   string
	version int64
}

// want returns what this instance should hold: what the operators named, otherwise
// what the engine serves, otherwise the newest. It returns false before the plan
// names a model.
func (l *Loader) want() (goal, bool) {
	plan, _ := l.plans.current()
	if plan.Model.Model == "" {
		return goal{}, false
	}
	if plan.Wanted.Version > 0 {
		return goal{model: plan.Model.Model, version: plan.Wanted.Version}, true
	}
	status := l.status.current()
	return goal{model: plan.Model.Model, version: status.Status.Version(plan.Model.Model)}, status.Answering
}
