package storewatch

import (
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

// configurationSequence orders the states of the configuration by its version.
func configurationSequence(object informer.Object) (informer.Sequence, bool) {
	version, err := platform.ConfigurationVersion(object.Value)
	return informer.Sequence{Number: version}, err == nil
}

// endpointSequence orders the states of an endpoint's entry by its start and its heartbeats.
func endpointSequence(object informer.Object) (informer.Sequence, bool) {
	start, heartbeat, err := platform.EndpointHeartbeat(object.Value)
	return informer.Sequence{Start: start, Number: heartbeat}, err == nil
}

// rolloutSequence orders the requests for versions of a model by the version.
func rolloutSequence(object informer.Object) (informer.Sequence, bool) {
	_, version, err := platform.DecodeRollout(object.Name, object.Value)
	return informer.Sequence{Number: version}, err == nil
}
