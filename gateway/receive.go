package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// errDeadline is the cancellation cause of a request that ran out of time.
var errDeadline = eris.New("gateway: request ran out of time")

// errBuffersFull reports that MaxBufferedBytes is exceeded.
var errBuffersFull = eris.New("gateway: buffered bytes over the limit")

// errTooLarge reports a body over its size limit.
var errTooLarge = eris.New("gateway: body too large")

// job is a caller's request while it is processed.
type job struct {
	in     exchange.Inbound
	method string
	body   []byte
	// bufferedBytes is the job's part of MaxBufferedBytes.
	bufferedBytes int64
	route         *route.Route
	team          fleet.TeamID
	home          homeRegions
	service       *service
	version       int64
	arrived       time.Time
	// priorWait is how long the caller has already waited in earlier requests.
	priorWait time.Duration
	// expires is the deadline: the earlier of the caller's and the route's.
	expires time.Time

	response *responseWriter
	attempts int
	// upstream is the upstream of the last attempt.
	upstream registry.Upstream
	// excluded are the upstreams that were tried already.
	excluded []fleet.UpstreamID
	// mayHaveRun is the number of attempts in which an upstream may have run the
	// request.
	mayHaveRun int
	// reached is the number of attempts that reached an upstream. retries is the number
	// of retries taken from the budget.
	reached int
	retries int
	// selfReport is what the upstream said of itself in the response to the last attempt.
	selfReport exchange.SelfReport
	// sentAt is when the last attempt was begun, and answerBegun is set once its response
	// has. closeDelimited is set if only the end of the connection marks the end of the
	// response.
	sentAt         time.Time
	answerBegun    atomic.Bool
	closeDelimited bool
	// trial is set if the request is sent although a part of its prompt is blamed for
	// crashes.
	trial bool
	// charged is set once an attempt was charged to the team's account.
	charged  bool
	position streamPosition
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now().Add(-timeSinceLastReceive(r.Context()))
	if !g.servingDuringShutdown.Load() {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
	}
	defer markRequestDecided(r.Context())
	response := newResponseWriter(w, r, g.closesConnections, g.log)
	j, refused := g.receive(r, response.control, arrived)
	defer g.releaseBuffered(j)
	if refused != nil {
		response.writeRefusal(refused)
		g.logRefusal(j, refused, arrived)
		return
	}
	response.requestID = j.in.ID
	j.response = response
	defer func() { _ = response.awaitSent() }() // The server closes a connection whose writes fail.
	ctx, cancel := g.requestContext(r.Context(), j)
	defer cancel()
	g.serve(ctx, j)
}

// releaseBuffered releases the request's body and its part of MaxBufferedBytes.
func (g *Gateway) releaseBuffered(j *job) {
	g.bufferedBytes.Add(-j.bufferedBytes)
	j.bufferedBytes, j.body = 0, nil
}

// receive reads a request and looks up its route, team and limits.
func (g *Gateway) receive(r *http.Request, control *http.ResponseController, arrived time.Time) (*job, *refusal) {
	j := &job{method: r.Method, arrived: arrived}
	table := g.table.Load()
	if table == nil {
		return j, notRun("no_configuration", "no configuration is known yet", g.options.StoreRetry)
	}
	j.version = table.Version()
	var err error
	if j.in, err = g.options.Dialect.ParseRequest(r); err != nil {
		return j, &refusal{status: http.StatusBadRequest, code: "malformed", message: err.Error()}
	}
	if refused := j.lookup(table); refused != nil {
		return j, refused
	}
	j.expires = arrived.Add(j.timeout(g.options.DefaultTimeout))
	j.priorWait = g.retryDetector.priorWait(j.route.Name, j.in.Deadline)
	if err := control.SetReadDeadline(j.expires); err != nil {
		g.log.Warn("no read deadline", zap.Error(err))
	}
	if refused := g.readBody(r, j, table.Limits()); refused != nil {
		return j, refused
	}
	// The server keeps reading in the background to detect that the caller disconnects.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		g.log.Warn("no read deadline", zap.Error(err))
	}
	if err := control.SetWriteDeadline(j.expires.Add(writeSlack)); err != nil {
		g.log.Warn("no write deadline", zap.Error(err))
	}
	return j, nil
}

// writeSlack is how long after a request's deadline its caller may still read the
// response.
const writeSlack = time.Second

// lookup sets the route and the team, or returns a refusal.
func (j *job) lookup(table *route.Table) *refusal {
	found, ok := table.Lookup(j.in.Host, j.in.Path)
	if !ok {
		return &refusal{status: http.StatusNotFound, code: "no_route", message: "no route matches the host and path"}
	}
	j.route = found
	team, known := table.Team(j.in.Key)
	if table.HasTeams() && !found.Anonymous && !known {
		return &refusal{status: http.StatusUnauthorized, code: "unknown_key", message: "the key is not known"}
	}
	j.team = team
	j.home = newHomeRegions(table, found.Name, team)
	if found.Kind == route.Stream && found.Resumable && j.in.ResumeAfter > 0 {
		j.position.advance(j.in.ResumeAfter)
	}
	return nil
}

// timeout returns how long the request may take.
func (j *job) timeout(fallback time.Duration) time.Duration {
	limit := j.route.Timeout
	if limit <= 0 {
		limit = fallback
	}
	if j.in.Deadline > 0 && j.in.Deadline < limit {
		return j.in.Deadline
	}
	return limit
}

func (g *Gateway) readBody(r *http.Request, j *job, limits route.Limits) *refusal {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = g.options.MaxBodyBytes
	}
	if r.ContentLength > limit {
		return bodyTooLarge()
	}
	if g.bufferedBytes.Load()+max(r.ContentLength, 0) > g.options.MaxBufferedBytes {
		return buffersFull()
	}
	body, err := readLimited(&countingReader{body: r.Body, gateway: g, job: j}, r.ContentLength, limit)
	switch {
	case err == nil:
		j.body = body
		return nil
	case errors.Is(err, errBuffersFull):
		return buffersFull()
	case errors.Is(err, errTooLarge):
		return bodyTooLarge()
	default:
		return &refusal{status: http.StatusBadRequest, code: "body_not_read", message: "the body ended early"}
	}
}

func buffersFull() *refusal {
	return notRun("buffers_full", "too many bodies are in flight", time.Second)
}

// countingReader reads the body of a request or response and counts its bytes towards
// MaxBufferedBytes.
type countingReader struct {
	body    io.Reader
	gateway *Gateway
	job     *job
}

// Read implements io.Reader. It returns errBuffersFull when all buffered bodies
// together exceed the limit.
func (b *countingReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.job.bufferedBytes += int64(n)
	if b.gateway.bufferedBytes.Add(int64(n)) > b.gateway.options.MaxBufferedBytes {
		return n, errBuffersFull
	}
	return n, err
}

func readLimited(r io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		return readLength(r, length)
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

// initialBodyBytes limits the memory that is allocated for a body of known length before
// any of it has arrived.
const initialBodyBytes = 64 << 10

// readLength reads a body of known length. Memory beyond initialBodyBytes is allocated as
// the bytes arrive, at most twice as much, so that callers that announce large bodies and
// send them slowly do not take memory that is not counted.
func readLength(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, min(length, initialBodyBytes))
	read := 0
	for {
		n, err := io.ReadFull(r, body[read:])
		read += n
		if err != nil || int64(read) == length {
			return body[:read], err
		}
		larger := make([]byte, min(length, 2*int64(len(body))))
		copy(larger, body)
		body = larger
	}
}

func bodyTooLarge() *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "the body is over the limit"}
}

func (g *Gateway) logRefusal(j *job, refused *refusal, arrived time.Time) {
	refusalCounts.Add(refused.code, 1)
	fields := []zap.Field{zap.String("request", j.in.ID), zap.Int("status", refused.status), zap.String("code", refused.code),
		zap.Int64("configuration", j.version), zap.Duration("retry_after", refused.retryAfter), zap.Duration("held", time.Since(arrived))}
	g.log.Warn("request refused", append(fields, g.decisionFields(j, refused.decision)...)...)
}
