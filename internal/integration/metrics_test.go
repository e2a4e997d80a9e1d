package integration

// metricValues returns the values of a gauge of a gateway, one for each of its labels.
func (i *installation) metricValues(gateway, name string) []float64 {
	families, err := i.metrics[gateway].Gather()
	if err != nil {
		i.t.Errorf("gather the metrics of %s: %v", gateway, err)
	}
	var values []float64
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			values = append(values, metric.GetGauge().GetValue())
		}
	}
	if len(values) == 0 {
		i.t.Fatalf("%s has no metric %s", gateway, name)
	}
	return values
}

// requestsWithOutcome returns the number of requests of a gateway that ended with an outcome.
func (i *installation) requestsWithOutcome(gateway, outcome string) float64 {
	families, err := i.metrics[gateway].Gather()
	if err != nil {
		i.t.Errorf("gather the metrics of %s: %v", gateway, err)
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != "mimosaward_gateway_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "outcome" && label.GetValue() == outcome {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}
