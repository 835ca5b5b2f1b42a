package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// CrashMarker in a prompt makes the engine exit when the request starts.
	CrashMarker = "CRASH-ENGINE"
	// defaultMaxTokens applies to a request without max_tokens.
	defaultMaxTokens = 16
	// maxTokens is the maximum output of one request.
	maxTokens = 1 << 16
	// bytesPerToken is the prompt size that counts as one token.
	bytesPerToken = 4
	// streamTerminator is the last event of a stream.
	streamTerminator = "data: [DONE]\n\n"
)

// ErrBadRequest reports an invalid completion request.
var ErrBadRequest = eris.New("standin: bad completion request")

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of a text or chat completion request.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// OutputTokens is the number of tokens that the engine generates, so that a
	// test can send a misleading max_tokens. Zero means MaxTokens.
	OutputTokens int `json:"output_tokens,omitempty"`
}

// Usage is the token usage of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of a completion; this engine returns exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the content that a chat stream event adds.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Completion is the body of a complete response or of one stream event.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ParseCompletion decodes and validates a request body. It ignores unknown fields.
func ParseCompletion(body []byte) (CompletionRequest, error) {
	var req CompletionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, eris.Wrap(ErrBadRequest, err.Error())
	}
	if req.OutputTokens > 0 {
		req.MaxTokens = req.OutputTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokens {
		return req, eris.Wrap(ErrBadRequest, "max_tokens")
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return req, nil
}

// FullPrompt returns the text that the engine processes: the prompt, or the chat
// messages with one line each.
func (r CompletionRequest) FullPrompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, message := range r.Messages {
		b.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return b.String()
}

// CountPromptTokens returns the number of tokens in a prompt.
func CountPromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Tokens returns the first n output tokens for a prompt. The output is a
// deterministic function of the prompt.
func Tokens(prompt string, n int) []string {
	state := xxhash.Sum64String(prompt)
	tokens := make([]string, n)
	for i := range tokens {
		// One step of the splitmix64 generator.
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
		z = (z ^ (z >> 27)) * 0x94d049bb133111eb
		tokens[i] = hex.EncodeToString([]byte{byte(z >> 56), byte(z >> 48), byte(z >> 40)}) + " "
	}
	return tokens
}

// CompletionText returns the first n output tokens for a prompt as one text.
func CompletionText(prompt string, n int) string {
	return strings.Join(Tokens(prompt, n), "")
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// StreamEvents returns the events of a streamed response: one per token, one with
// the usage, and the terminator. The bytes depend only on the request, so that a
// stream can be resumed at a byte offset on any engine.
func StreamEvents(req CompletionRequest, chat bool) [][]byte {
	prompt := req.FullPrompt()
	events := make([][]byte, 0, req.MaxTokens+2)
	for _, token := range Tokens(prompt, req.MaxTokens) {
		events = append(events, encodeEvent(streamChunk(req, prompt, chat, token)))
	}
	last := streamChunk(req, prompt, chat, "")
	last.Choices[0].FinishReason = finishReason()
	last.Usage = usage(prompt, req.MaxTokens)
	return append(events, encodeEvent(last), []byte(streamTerminator))
}

// ResponseBody returns the body of a response that is not streamed.
func ResponseBody(req CompletionRequest, chat bool) []byte {
	prompt := req.FullPrompt()
	content := CompletionText(prompt, req.MaxTokens)
	choice := Choice{FinishReason: finishReason()}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	return marshal(Completion{
		ID:      completionID(prompt),
		Object:  object,
		Model:   req.Model,
		Choices: []Choice{choice},
		Usage:   usage(prompt, req.MaxTokens),
	})
}

func streamChunk(req CompletionRequest, prompt string, chat bool, token string) Completion {
	chunk := Completion{ID: completionID(prompt), Model: req.Model}
	if chat {
		chunk.Object = "chat.completion.chunk"
		chunk.Choices = []Choice{{Delta: &Delta{Content: token}}}
		return chunk
	}
	chunk.Object = "text_completion"
	chunk.Choices = []Choice{{Text: &token}}
	return chunk
}

func encodeEvent(chunk Completion) []byte {
	return []byte("data: " + string(marshal(chunk)) + "\n\n")
}

func completionID(prompt string) string {
	return "cmpl-" + Digest([]byte(prompt))[:16]
}

func finishReason() *string {
	reason := "length"
	return &reason
}

func usage(prompt string, tokens int) *Usage {
	promptTokens := CountPromptTokens(prompt)
	return &Usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens}
}

// marshal encodes a value of a type that always encodes; it panics on an error.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
