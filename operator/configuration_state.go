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

// Register holds the configuration in force at one host, whose version only
// grows, and the overrides that it does not contain yet.
type Register struct {
	// Configuration is the configuration in force without the overrides.
	Configuration schema.Configuration
	// Overrides are in force, sorted by data centre.
	Overrides []schema.Override
}

// NewRegister returns a register without a configuration.
func NewRegister() *Register {
	return &Register{Overrides: []schema.Override{}}
}

// Step reacts to one event.
func (r *Register) Step(event Event) []Action {
	before := r.Configuration.Version
	actions := r.step(event)
	if r.Configuration.Version < before {
		actions = append(actions, Violation{
			Invariant: "configuration_version_grows",
			Detail:    fmt.Sprintf("version %d follows version %d", r.Configuration.Version, before),
		})
	}

	return actions
}

// step changes the state.
func (r *Register) step(event Event) []Action {
	switch event := event.(type) {
	case ConfigurationRead:
		if event.Configuration.Version <= r.Configuration.Version {
			return nil
		}
		r.Configuration = event.Configuration
		r.Overrides = r.unended(r.Overrides)

		return []Action{r.put(event.Source)}
	case OverridesHeard:
		merged := r.unended(Merge(r.Overrides, event.Overrides))
		if slices.Equal(merged, r.Overrides) {
			return nil
		}
		r.Overrides = merged

		return []Action{r.put(sourceOverrides)}
	}

	return nil
}

// unended returns the overrides that the configuration has not ended.
func (r *Register) unended(overrides []schema.Override) []schema.Override {
	return slices.DeleteFunc(slices.Clone(overrides), func(o schema.Override) bool { return Ended(r.Configuration, o) })
}

// put returns the action that puts the present state in force.
func (r *Register) put(source string) Action {
	return PutInForce{Configuration: r.Configuration, Overrides: r.Overrides, Source: source}
}
