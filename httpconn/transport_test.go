package httpconn_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/httpconn"
	"fulmarspindle.example/fulmarspindle/internal/answertest"
)

const (
	callTimeout = 20 * time.Second
	wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	interimHead = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// serveInTurn starts a server that gives the answers in turn to the requests of all connections,
// and counts these.
func serveInTurn(t *testing.T, connections *atomic.Int64, answers ...string) (address string) {
	var next atomic.Int64
	return answertest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(c, answers[int(next.Add(1)-1)%len(answers)]); err != nil {
				return
			}
		}
	})
}

func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against heads that are checked on a new connection only, and against checks that find
// a head where the body of a response before it or an interim head ends.
func TestEachResponseOnAKeptConnectionIsChecked(t *testing.T) {
	g := NewWithT(t)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	var connections atomic.Int64
	address := serveInTurn(t, &connections, wholeAnswer, interimHead+wholeAnswer, chunked, interimHead+interimHead+chunked)
	client := httpconn.NewClient(callTimeout)
	for range 4 {
		g.Expect(get(client, "http://"+address)).To(Equal("whole"))
	}
	g.Expect(connections.Load()).To(BeEquivalentTo(1))
	broken := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: a\r\n", 300) + "\r\n"
	address = serveInTurn(t, &connections, wholeAnswer, broken, broken)
	g.Expect(get(client, "http://"+address)).To(Equal("whole"))
	_, err := get(client, "http://"+address)
	g.Expect(err).To(MatchError(httpconn.ErrMalformedHead))
}

// Guards against interim responses without end, each of them within the limits.
func TestInterimResponsesAreLimited(t *testing.T) {
	g := NewWithT(t)
	var connections atomic.Int64
	address := serveInTurn(t, &connections, strings.Repeat(interimHead, 8)+wholeAnswer, strings.Repeat(interimHead, 9)+wholeAnswer)
	client := httpconn.NewClient(callTimeout)
	g.Expect(get(client, "http://"+address)).To(Equal("whole"))
	_, err := get(client, "http://"+address)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a head that is read in as many parts as it has bytes, and against TLS records
// that are taken for heads.
func TestSoundResponsesAreRead(t *testing.T) {
	g := NewWithT(t)
	address := answertest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for _, b := range []byte(interimHead + wholeAnswer) {
			_, _ = c.Write([]byte{b})
		}
	})
	g.Expect(get(httpconn.NewClient(callTimeout), "http://"+address)).To(Equal("whole"))

	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }))
	defer server.Close()
	client := &http.Client{Transport: httpconn.NewTransport(server.Client().Transport.(*http.Transport).Clone())}
	g.Expect(get(client, server.URL)).To(Equal("whole"))
	client.CloseIdleConnections()
}

// Guards against an answer without a length whose connection was reset while the upload was
// being written, and that is taken for a whole one as only the writer has seen the reset.
func TestAnswerThatIsCutDuringTheUploadIsBrokenOff(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, io.Reader){
		"reset": answertest.ResetUpload, "closed with unread bytes": answertest.CloseUpload, "ended and reset": answertest.EndThenReset,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := &answertest.EarlyAnswer{Answer: "HTTP/1.1 200 OK\r\n\r\npart", Proceed: make(chan struct{}, 1), End: end}
			wrote, bodyRead := make(chan struct{}), make(chan struct{})
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
				close(wrote)
				<-bodyRead // The transport closes the connection after this.
			}})
			upload := bytes.NewReader(make([]byte, answertest.UploadBytes))
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+server.Start(t), upload)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := httpconn.NewClient(callTimeout).Do(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			server.Proceed <- struct{}{}
			<-wrote
			_, err = io.ReadAll(resp.Body)
			close(bodyRead)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against whole answers without a length that are taken for cut ones.
func TestAnswerThatEndsBeforeTheUploadIsReadIsWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, io.Reader){"ended, then read": answertest.EndThenRead, "read, then ended": answertest.ReadUpload} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := &answertest.EarlyAnswer{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", Proceed: make(chan struct{}, 1), End: end}
			server.Proceed <- struct{}{}
			upload := bytes.NewReader(make([]byte, answertest.UploadBytes))
			resp, err := httpconn.NewClient(callTimeout).Post("http://"+server.Start(t), "text/plain", upload)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("whole"))
		})
	}
}
