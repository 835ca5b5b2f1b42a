package soak

import (
	"bytes"
	"fmt"
)

// plainAnswer returns the body of a plain server's response to a request.
func plainAnswer(attemptID string) string { return "done " + attemptID }

// streamPiece returns the event with an id that a run of a request makes on a server.
func streamPiece(id int, server, attemptID string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", id, server, attemptID)
}

// AnswerViolation describes the first successful response with bytes that no run of its
// request made, with a piece of a stream that is missing or repeated, or that looks complete
// and is not. The result is empty if there is none.
func AnswerViolation(requests []Request, arrivals []Arrival) string {
	runs := map[string][]Arrival{}
	for _, a := range arrivals {
		if a.Started {
			runs[a.AttemptID] = append(runs[a.AttemptID], a)
		}
	}
	for i := range requests {
		r := &requests[i]
		violation := r.plainViolation()
		if r.Pieces > 0 {
			violation = r.streamViolation(runs[r.AttemptID])
		}
		if violation != "" {
			return fmt.Sprintf("%s, ended at %s with status %d: %s", r.AttemptID, r.EndedAt.Format(timeLayout), r.Status, violation)
		}
	}
	return ""
}

// whole reports whether the caller takes the response for a complete one.
func (r *Request) whole() bool { return r.Status == 200 }

func (r *Request) plainViolation() string {
	if r.whole() && string(r.Body) != plainAnswer(r.AttemptID) {
		return fmt.Sprintf("the body is %q", r.Body)
	}
	return ""
}

// streamViolation checks the pieces that a caller received of a stream, complete or not.
func (r *Request) streamViolation(runs []Arrival) string {
	rest, id := r.Body, 1
	for ; len(rest) > 0; id++ {
		end := bytes.Index(rest, []byte("\n\n"))
		if end < 0 {
			break
		}
		if !made(runs, id, rest[:end+2], bytes.Equal) {
			return fmt.Sprintf("no run made %q as piece %d; the runs are %s", rest[:end+2], id, describeRuns(runs))
		}
		rest = rest[end+2:]
	}
	switch {
	case len(rest) > 0 && (r.whole() || !made(runs, id, rest, bytes.HasPrefix)):
		return fmt.Sprintf("the stream ends with %q after %d pieces", rest, id-1)
	case r.whole() && id-1 != r.Pieces:
		return fmt.Sprintf("the stream looks complete after %d of %d pieces", id-1, r.Pieces)
	}
	return ""
}

// made reports whether one of the runs made a piece with an id that matches the given bytes.
func made(runs []Arrival, id int, received []byte, matches func(piece, received []byte) bool) bool {
	for _, a := range runs {
		if id > a.ResumedAfter && id <= a.LastPiece && matches([]byte(streamPiece(id, a.Server, a.AttemptID)), received) {
			return true
		}
	}
	return false
}

func describeRuns(runs []Arrival) string {
	var out []string
	for _, a := range runs {
		out = append(out, fmt.Sprintf("%d to %d on %s", a.ResumedAfter+1, a.LastPiece, a.Server))
	}
	return fmt.Sprint(out)
}
