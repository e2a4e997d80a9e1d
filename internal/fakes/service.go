package fakes

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// Service is a fake HTTP service with idempotent and non-idempotent calls. It
// counts the calls that it ran and does not deduplicate them.
type Service struct {
	// Latency is the duration of a call.
	Latency time.Duration

	mu     sync.Mutex
	runs   map[string]int
	reads  int64
	faults ServiceFaults
}

// ServiceFaults are the faults that the service injects.
type ServiceFaults struct {
	// Misdirected is the number of next responses that carry the id of another
	// request.
	Misdirected int `json:"cross"`
	// LoseResponses is the number of next calls that run without sending a
	// response.
	LoseResponses int `json:"loseAnswers"`
}

// ServiceCounts counts the calls that the service ran. Runs is the number of runs
// by idempotency key.
type ServiceCounts struct {
	Runs  map[string]int `json:"runs"`
	Reads int64          `json:"reads"`
}

// Counts returns a copy of the counters.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := ServiceCounts{Runs: map[string]int{}, Reads: s.reads}
	for key, runs := range s.runs {
		counts.Runs[key] = runs
	}
	return counts
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// App returns the HTTP application of the service.
func (s *Service) App() *fiber.App {
	app := fiber.New()
	app.Get("/counts", func(c fiber.Ctx) error { return c.JSON(s.Counts()) })
	app.Put("/faults", func(c fiber.Ctx) error {
		var faults ServiceFaults
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return c.Status(400).SendString(err.Error())
		}
		s.SetFaults(faults)
		return c.SendStatus(200)
	})
	app.Get("/*", s.handleRead)
	app.Post("/*", s.handleRun)
	return app
}

func (s *Service) handleRead(c fiber.Ctx) error {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	time.Sleep(s.Latency)
	c.Set(outcome.RequestIDHeader, c.Get(outcome.RequestIDHeader))
	return c.JSON(map[string]string{"path": c.Path()})
}

func (s *Service) handleRun(c fiber.Ctx) error {
	key := string(append([]byte(nil), c.Get(outcome.IdempotencyKeyHeader)...))
	requestID := c.Get(outcome.RequestIDHeader)
	s.mu.Lock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[key]++
	misdirected, loseResponse := s.faults.Misdirected > 0, s.faults.LoseResponses > 0
	if misdirected {
		s.faults.Misdirected--
	}
	if loseResponse {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	time.Sleep(s.Latency)
	if loseResponse {
		return c.RequestCtx().Conn().Close()
	}
	if misdirected {
		requestID = "crossed"
	}
	c.Set(outcome.RequestIDHeader, requestID)
	c.Set(fiber.HeaderLocation, "/bookings/"+key)
	c.Set("X-Seen-Authorization", c.Get(fiber.HeaderAuthorization))
	return c.Status(201).JSON(map[string]string{"booked": key})
}
