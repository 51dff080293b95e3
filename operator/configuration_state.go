package operator

import (
	"fmt"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is an input to ConfigurationState.Step.
//
//sumtype:decl
type Event interface{ event() }

// ConfigurationRead carries a configuration from the platform or from a peer.
type ConfigurationRead struct {
	// Configuration is the configuration as the platform persisted it.
	Configuration schema.Configuration
	// Source names where the configuration was read, for the log.
	Source string
}

// OverridesReceived carries overrides from an operator or from a peer.
type OverridesReceived struct {
	// Overrides are the overrides in force at the source.
	Overrides []schema.Override
}

func (ConfigurationRead) event() {}
func (OverridesReceived) event() {}

// Action is an output of ConfigurationState.Step that the caller carries out.
//
//sumtype:decl
type Action interface{ action() }

// PutInForce puts a configuration and its overrides in force at the host.
type PutInForce struct {
	// Configuration is the configuration without the overrides.
	Configuration schema.Configuration
	// Overrides are the overrides in force.
	Overrides []schema.Override
	// Source names the origin of the change, for the log.
	Source string
}

// Violation reports a broken invariant, which is a defect of this program.
type Violation struct {
	// Invariant is the name of the invariant.
	Invariant string
	// Detail describes the state that broke it.
	Detail string
}

func (PutInForce) action() {}
func (Violation) action()  {}

// sourceOverrides is the source of a change made by overrides alone.
const sourceOverrides = "overrides"

// ConfigurationState holds the configuration in force at one host and the
// overrides that the configuration does not contain yet. The configuration's
// version only grows.
type ConfigurationState struct {
	// Configuration is the configuration in force without the overrides.
	Configuration schema.Configuration
	// Overrides are the overrides in force, sorted by data centre.
	Overrides []schema.Override
}

// NewConfigurationState returns the state of a host that has no configuration
// yet.
func NewConfigurationState() *ConfigurationState {
	return &ConfigurationState{Overrides: []schema.Override{}}
}

// Step applies one event and returns the actions to carry out.
func (s *ConfigurationState) Step(event Event) []Action {
	before := s.Configuration.Version
	actions := s.step(event)
	if s.Configuration.Version < before {
		actions = append(actions, Violation{
			Invariant: "configuration_version_grows",
			Detail:    fmt.Sprintf("version %d follows version %d", s.Configuration.Version, before),
		})
	}

	return actions
}

// step applies one event without checking invariants. A configuration that is
// not newer is ignored.
func (s *ConfigurationState) step(event Event) []Action {
	switch event := event.(type) {
	case ConfigurationRead:
		if event.Configuration.Version <= s.Configuration.Version {
			return nil
		}
		s.Configuration = event.Configuration
		s.Overrides = s.activeOverrides(s.Overrides)

		return []Action{s.putAction(event.Source)}
	case OverridesReceived:
		merged := s.activeOverrides(Merge(s.Overrides, event.Overrides))
		if slices.Equal(merged, s.Overrides) {
			return nil
		}
		s.Overrides = merged

		return []Action{s.putAction(sourceOverrides)}
	}

	return nil
}

// activeOverrides returns the overrides that have not ended under the current
// configuration.
func (s *ConfigurationState) activeOverrides(overrides []schema.Override) []schema.Override {
	return slices.DeleteFunc(slices.Clone(overrides), func(o schema.Override) bool { return OverrideEnded(s.Configuration, o) })
}

// putAction returns the action that puts the current state in force.
func (s *ConfigurationState) putAction(source string) Action {
	return PutInForce{Configuration: s.Configuration, Overrides: s.Overrides, Source: source}
}
