package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/pkg/outcome"
)

const (
	// maxWeightBytes is the maximum size of the body of a load order.
	maxWeightBytes = 1 << 30
	// maxTokens is the maximum number of tokens of a chat completion.
	maxTokens = 4096
)

// chatRequest is the part of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunk is one server-sent event of a chat completion.
type chatChunk struct {
	ID                string       `json:"id"`
	Object            string       `json:"object"`
	Model             string       `json:"model"`
	SystemFingerprint string       `json:"system_fingerprint"`
	Choices           []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

// App returns the HTTP application of the engine.
func (e *Engine) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxWeightBytes})
	app.Post("/v1/chat/completions", e.chat)
	app.Put("/weights", e.putWeights)
	app.Get("/status", func(c fiber.Ctx) error { return c.JSON(e.Status()) })
	app.Get("/counts", func(c fiber.Ctx) error { return c.JSON(e.Counts()) })
	app.Put("/cold", func(c fiber.Ctx) error {
		e.EnterColdStart()
		return c.SendStatus(200)
	})
	app.Put("/faults", func(c fiber.Ctx) error {
		var faults EngineFaults
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return c.Status(400).SendString(err.Error())
		}
		e.SetFaults(faults)
		return c.SendStatus(200)
	})
	return app
}

func (e *Engine) putWeights(c fiber.Ctx) error {
	fencingNumber, err := strconv.ParseInt(c.Query("fence"), 10, 64)
	if err != nil {
		return c.Status(400).SendString("invalid fencing number")
	}
	if !e.Load(string(append([]byte(nil), c.Query("set")...)), fencingNumber, c.Body()) {
		return c.Status(409).SendString("fencing number is too old")
	}
	return c.SendStatus(200)
}

func (e *Engine) chat(c fiber.Ctx) error {
	var request chatRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil || len(request.Messages) == 0 {
		return c.Status(400).SendString("invalid chat completion request")
	}
	if request.MaxTokens > maxTokens {
		e.countRejected()
		return c.Status(400).JSON(fiber.Map{"error": fiber.Map{"message": "max_tokens is above " + strconv.Itoa(maxTokens)}})
	}
	prompt := request.Messages[len(request.Messages)-1].Content
	resumeFrom, _ := strconv.Atoi(c.Get(outcome.ResumeFromHeader))
	if resumeFrom > 0 && e.rejectsResumed() {
		e.countRejected()
		return c.Status(400).SendString("the stream\n\ncannot be continued\n\n")
	}
	requestID := string(append([]byte(nil), c.Get(outcome.RequestIDHeader)...))
	completion, ok := e.startCompletion(requestID, prompt, string(append([]byte(nil), c.Get("Priority")...)))
	if !ok {
		return c.Status(503).SendString("no weights loaded")
	}
	c.Set("Content-Type", "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		err := e.stream(w, completion, request, resumeFrom)
		if err == nil && completion.duplicated {
			err = e.stream(w, completion, request, resumeFrom)
		}
		e.endCompletion(completion, err != nil)
	})
}

// stream writes the tokens. An error means that the caller has disconnected.
func (e *Engine) stream(w *bufio.Writer, completion activeCompletion, request chatRequest, resumeFrom int) error {
	time.Sleep(e.firstTokenLatency(completion.cold))
	for index := resumeFrom; index < request.MaxTokens; index++ {
		if completion.truncated && index > request.MaxTokens/2 {
			return nil
		}
		if err := writeChunk(w, e.newChunk(completion, request.Model, Token(completion.contentDigest, completion.prompt, index)+" ", nil)); err != nil {
			return err
		}
		time.Sleep(e.TokenInterval)
	}
	finishReason := "stop"
	if err := writeChunk(w, e.newChunk(completion, request.Model, "", &finishReason)); err != nil {
		return err
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	return w.Flush()
}

func (e *Engine) newChunk(completion activeCompletion, model, text string, finishReason *string) chatChunk {
	return chatChunk{
		ID: completion.requestID, Object: "chat.completion.chunk", Model: model, SystemFingerprint: completion.weightSet,
		Choices: []chatChoice{{Delta: chatDelta{Content: text}, FinishReason: finishReason}},
	}
}

func writeChunk(w *bufio.Writer, chunk chatChunk) error {
	text, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", text); err != nil {
		return err
	}
	return w.Flush()
}
