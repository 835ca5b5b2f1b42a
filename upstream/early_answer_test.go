package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/internal/answertest"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// unframedHeads are heads of responses whose bodies end with their connections.
var unframedHeads = map[string]string{
	"a success":   "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	"of HTTP/1.0": "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
	"a failure":   "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\n\r\n",
	"a stream":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n",
}

const (
	wholeWithLength = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 13\r\n\r\ndata: whole\n\n"
	wholeInChunks   = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nd\r\ndata: whole\n\n\r\n0\r\n\r\n"
	wholeBody       = "data: whole\n\n"
)

// uploads are the calls that send a large body. Each calls onHead before it reads the body of
// the answer, which it returns.
var uploads = map[string]func(t *testing.T, address string, onHead func()) (string, error){
	"by a gateway": func(t *testing.T, address string, onHead func()) (string, error) {
		request := newRequest("1")
		request.Body = make([]byte, answertest.UploadBytes)
		x, err := newPool(t, address).Do(t.Context(), request)
		if err != nil {
			return "", err
		}
		defer x.Close()
		onHead()
		body, err := io.ReadAll(x)
		return string(body), err
	},
	"by a sidecar": func(t *testing.T, address string, onHead func()) (string, error) {
		sink := &uploadSink{onHead: onHead}
		call := &upstream.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, answertest.UploadBytes), IdleTimeout: time.Minute}
		err := upstream.NewClient("http://"+address, "/health").Do(t.Context(), call, sink)
		return sink.body.String(), err
	},
}

// uploadSink is an upstream.Sink that calls onHead when the head has arrived.
type uploadSink struct {
	body   strings.Builder
	onHead func()
}

func (s *uploadSink) Head(int, http.Header) error {
	s.onHead()
	return nil
}

func (s *uploadSink) Data(p []byte) error {
	_, _ = s.body.Write(p)
	return nil
}

// earlyAnswer uploads to a server that answers early and returns the answer's body. If
// afterUpload is set, the body is read once the writer of the upload has seen its end: what the
// connection has reported to it, it does not report to the reader again.
func earlyAnswer(t *testing.T, upload string, s *answertest.EarlyAnswer, afterUpload bool) (string, error) {
	t.Helper()
	s.Proceed = make(chan struct{}, 1)
	t.Cleanup(func() { close(s.Proceed) })
	return uploads[upload](t, s.Start(t), func() {
		s.Proceed <- struct{}{}
		if afterUpload && !answertest.AwaitNoUpload("upstream.(*Request).write") {
			t.Error("the upload goes on")
		}
	})
}

// Guards against an answer without a length whose connection was reset while the upload was
// being written, and that is taken for a whole one as only the writer has seen the reset (MIXED).
func TestAnswerThatIsCutDuringTheUploadIsInterrupted(t *testing.T) {
	for upload := range uploads {
		for kind, head := range unframedHeads {
			for name, end := range map[string]func(*net.TCPConn, io.Reader){
				"reset": answertest.ResetUpload, "closed with unread bytes": answertest.CloseUpload, "ended and reset": answertest.EndThenReset,
			} {
				t.Run(upload+", "+kind+", "+name, func(t *testing.T) {
					g := NewWithT(t)
					_, err := earlyAnswer(t, upload, &answertest.EarlyAnswer{Answer: head + "data: a part\n\n", End: end}, true)
					g.Expect(err).To(MatchError(upstream.ErrInterrupted))
					g.Expect(upstream.IsMalformed(err)).To(BeFalse(), "%v", err)
				})
			}
		}
	}
}

// Guards against whole answers that are taken for cut ones, since the upload was not read.
func TestAnswerThatIsWholeBeforeTheUploadIsRead(t *testing.T) {
	unframed := unframedHeads["a success"] + wholeBody
	endThenWait := func(c *net.TCPConn, upload io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, upload, 1)
		<-t.Context().Done()
	}
	for upload := range uploads {
		for name, c := range map[string]struct {
			server      answertest.EarlyAnswer
			afterUpload bool
		}{
			"with a length, upload reset":         {answertest.EarlyAnswer{Answer: wholeWithLength, End: answertest.ResetUpload}, true},
			"with a length, upload closed":        {answertest.EarlyAnswer{Answer: wholeWithLength, End: answertest.CloseUpload}, true},
			"with a length, upload read":          {answertest.EarlyAnswer{Answer: wholeWithLength, End: answertest.ReadUpload}, false},
			"in chunks, upload reset":             {answertest.EarlyAnswer{Answer: wholeInChunks, End: answertest.ResetUpload}, true},
			"in chunks, upload closed":            {answertest.EarlyAnswer{Answer: wholeInChunks, End: answertest.CloseUpload}, true},
			"in chunks, upload read":              {answertest.EarlyAnswer{Answer: wholeInChunks, End: answertest.ReadUpload}, false},
			"without a length, ended, then read":  {answertest.EarlyAnswer{Answer: unframed, End: answertest.EndThenRead}, false},
			"without a length, read, then ended":  {answertest.EarlyAnswer{Answer: unframed, End: answertest.ReadUpload}, false},
			"without a length, read after upload": {answertest.EarlyAnswer{Answer: unframed, End: answertest.ReadUpload}, true},
			"without a length, never read":        {answertest.EarlyAnswer{Answer: unframed, End: endThenWait}, false},
		} {
			t.Run(upload+", "+name, func(t *testing.T) {
				NewWithT(t).Expect(earlyAnswer(t, upload, &c.server, c.afterUpload)).To(Equal(wholeBody))
			})
		}
	}
}
