package serve

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/fault"
)

// send sends the answer and injects the faults that affect answers.
func (s *Server) send(w http.ResponseWriter, request Request, answer Answer) {
	if late, ok := s.faults.Hit(s.target, fault.Late); ok {
		sleep(s.ctx, late.Delay)
	}
	answer = s.swapAnswer(answer)
	if _, ok := s.faults.Hit(s.target, fault.LostAnswer); ok {
		closeConn(w)
		return
	}
	if _, ok := s.faults.Hit(s.target, fault.Truncated); ok {
		sendHalf(w, answer)
		return
	}
	if _, ok := s.faults.Hit(s.target, fault.Dying); ok {
		s.faults.Switch(fault.Switch{On: true, Fault: fault.Fault{
			Part: s.target.Part, Instance: s.target.Instance, Kind: fault.Down,
		}})
		sendHalf(w, answer)
		return
	}
	if _, ok := s.faults.Hit(s.target, fault.Duplicated); ok {
		sendTwice(w, answer)
		return
	}
	s.write(w, request.Header, answer)
}

// swapAnswer stores the answer. It returns the same answer or, while the fault
// Swapped is on, the previous one.
func (s *Server) swapAnswer(answer Answer) Answer {
	_, swapped := s.faults.Hit(s.target, fault.Swapped)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.previousAnswer
	s.previousAnswer = answer
	if !swapped || last.Status == 0 {
		return answer
	}
	return last
}

// withRequestID returns a copy of an answer with the id of the request in the header.
// Answers with the Endive-Not-Run header also repeat the attempt id. For other answers
// the attempt id is optional, and omitted here so that clients can't rely on it.
func withRequestID(request http.Header, answer Answer) Answer {
	header := answer.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(rest.HeaderRequestID, request.Get(rest.HeaderRequestID))
	if header.Get(rest.HeaderNotRun) != "" {
		header.Set(rest.HeaderAttemptID, request.Get(rest.HeaderAttemptID))
	}
	answer.Header = header
	return answer
}

// write sends a complete answer through net/http.
func (s *Server) write(w http.ResponseWriter, request http.Header, answer Answer) {
	if answer.Header.Get(rest.HeaderRequestID) == "" {
		answer = withRequestID(request, answer)
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// encode returns an answer as the bytes of an HTTP/1.1 response.
func encode(answer Answer) []byte {
	response := http.Response{
		StatusCode:    answer.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        answer.Header,
		ContentLength: int64(len(answer.Body)),
		Body:          io.NopCloser(bytes.NewReader(answer.Body)),
	}
	var b bytes.Buffer
	_ = response.Write(&b)
	return b.Bytes()
}

// hijack takes over the connection from net/http, if it allows that.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter, bool) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil, nil, false
	}
	conn, buffer, err := hijacker.Hijack()
	return conn, buffer, err == nil
}

func closeConn(w http.ResponseWriter) {
	if conn, _, ok := hijack(w); ok {
		_ = conn.Close()
	}
}

// sendHalf sends an answer without the second half of its body, or of its header
// if it has no body, and closes the connection.
func sendHalf(w http.ResponseWriter, answer Answer) {
	conn, _, ok := hijack(w)
	if !ok {
		return
	}
	defer conn.Close()
	bytes := encode(answer)
	missing := (len(answer.Body) + 1) / 2
	if missing == 0 {
		missing = len(bytes) / 2
	}
	_, _ = conn.Write(bytes[:len(bytes)-missing])
}

// sendTwice sends an answer, and sends it again as the answer to the next request
// on the connection.
func sendTwice(w http.ResponseWriter, answer Answer) {
	conn, buffer, ok := hijack(w)
	if !ok {
		return
	}
	defer conn.Close()
	_, _ = conn.Write(encode(answer))
	next, err := http.ReadRequest(buffer.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	_, _ = conn.Write(encode(answer))
}
