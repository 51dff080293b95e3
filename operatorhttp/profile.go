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
	// PathProfile returns a CPU profile taken over a number of seconds.
	PathProfile = "/debug/profile"
	// maxProfileSeconds limits the duration of a profile.
	maxProfileSeconds = 60
)

// ProfilingError reports that a profile cannot be started, because another one
// is being taken.
type ProfilingError struct {
	// Cause is the runtime's error.
	Cause error
}

// Error describes the failure and its cause.
func (e *ProfilingError) Error() string {
	return "starting a CPU profile: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProfilingError) Unwrap() error {
	return e.Cause
}

// profile takes a CPU profile of the process and returns it in pprof's format.
// It stops early if the request ends.
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
