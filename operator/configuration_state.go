package operator

import (
	"fmt"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is what the register reacts to.
//
//sumtype:decl
type Event interface{ event() }

// ConfigurationRead brings a configuration from the platform or from a peer.
type ConfigurationRead struct {
	// Configuration is the configuration as the platform kept it.
	Configuration schema.Configuration
	// Source says where it was read.
	Source string
}

// OverridesHeard brings overrides from an operator or from a peer.
type OverridesHeard struct {
	// Overrides are those in force at the source.
	Overrides []schema.Override
}

func (ConfigurationRead) event() {}
func (OverridesHeard) event()    {}

// Action is what the register wants done.
//
//sumtype:decl
type Action interface{ action() }

// PutInForce puts a configuration and overrides in force.
type PutInForce struct {
	// Configuration is the configuration without the overrides.
	Configuration schema.Configuration
	// Overrides are those in force.
	Overrides []schema.Override
	// Source says where the change came from.
	Source string
}

// Violation reports a broken invariant. It is a defect of this program.
type Violation struct {
	// Invariant names the invariant.
	Invariant string
	// Detail says what was found.
	Detail string
}

func (PutInForce) action() {}
func (Violation) action()  {}

// sourceOverrides is the source of a change that overrides alone made.
const sourceOverrides = "overrides"

// ConfigurationState holds the configuration in force at one host, whose version only
// grows, and the overrides that it does not contain yet.
type ConfigurationState struct {
	// Configuration is the configuration in force without the overrides.
	Configuration schema.Configuration
	// Overrides are in force, sorted by data centre.
	Overrides []schema.Override
}

// NewConfigurationState returns a register without a configuration.
func NewConfigurationState() *ConfigurationState {
	return &ConfigurationState{Overrides: []schema.Override{}}
}

// Step reacts to one event.
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

// step changes the state.
func (s *ConfigurationState) step(event Event) []Action {
	switch event := event.(type) {
	case ConfigurationRead:
		if event.Configuration.Version <= s.Configuration.Version {
			return nil
		}
		s.Configuration = event.Configuration
		s.Overrides = s.activeOverrides(s.Overrides)

		return []Action{s.putAction(event.Source)}
	case OverridesHeard:
		merged := s.activeOverrides(Merge(s.Overrides, event.Overrides))
		if slices.Equal(merged, s.Overrides) {
			return nil
		}
		s.Overrides = merged

		return []Action{s.putAction(sourceOverrides)}
	}

	return nil
}

// activeOverrides returns the overrides that the configuration has not ended.
func (s *ConfigurationState) activeOverrides(overrides []schema.Override) []schema.Override {
	return slices.DeleteFunc(slices.Clone(overrides), func(o schema.Override) bool { return OverrideEnded(s.Configuration, o) })
}

// putAction returns the action that puts the present state in force.
func (s *ConfigurationState) putAction(source string) Action {
	return PutInForce{Configuration: s.Configuration, Overrides: s.Overrides, Source: source}
}
