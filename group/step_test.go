package group_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/group"
)

func ExampleStep() {
	var step group.Step
	step.Begin()
	time.Sleep(time.Millisecond)
	fmt.Println(step.InProgress() >= time.Millisecond)
	step.End()
	fmt.Println(step.InProgress())
	// Output:
	// true
	// 0s
}

func TestStepMeasuresOnlyTheCurrentStep(t *testing.T) {
	var step group.Step
	assert.Equal(t, step.InProgress(), time.Duration(0))
	step.Begin()
	time.Sleep(20 * time.Millisecond)
	step.End()
	step.Begin()
	assert.Assert(t, step.InProgress() < 20*time.Millisecond, "%s", step.InProgress())
}
