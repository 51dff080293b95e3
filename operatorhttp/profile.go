package operatorhttp

import (
	"bytes"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// PathProfile returns a CPU profile over a number of seconds.
	PathProfile = "/debug/profile"
	// maxProfileSeconds bounds a profile in seconds.
	maxProfileSeconds = 60
)

// ProfilingError reports that another profile is being taken.
type ProfilingError struct {
	// Cause is what the runtime said.
	Cause error
}

// Error says what to do.
func (e *ProfilingError) Error() string {
	return "a profile cannot be started now: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProfilingError) Unwrap() error {
	return e.Cause
}

// profile takes a CPU profile of the process in the format of pprof.
func profile(c fiber.Ctx) error {
	seconds, err := strconv.Atoi(c.Query("seconds", "10"))
	if err != nil || seconds < 1 || seconds > maxProfileSeconds {
		return &schema.InvalidError{Input: "query", Faults: []schema.Fault{
			{Place: "seconds", Value: c.Query("seconds"), Problem: "must be a whole number from 1 to 60"},
		}}
	}
	var buffer bytes.Buffer
	if err := pprof.StartCPUProfile(&buffer); err != nil {
		return &ProfilingError{Cause: err}
	}
	timer := time.NewTimer(time.Duration(seconds) * time.Second)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.RequestCtx().Done():
	}
	pprof.StopCPUProfile()
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)

	return c.Send(buffer.Bytes())
}
