package integration

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// slowBodyTime is how long a slow caller takes to send a request, in slowBodyPieces pieces.
const (
	slowBodyTime   = 1500 * time.Millisecond
	slowBodyPieces = 10
)

// slowConn writes in pieces. It records when a write of a whole request has ended.
type slowConn struct {
	net.Conn
	wroteAt time.Time
}

// Write implements net.Conn.
func (c *slowConn) Write(data []byte) (int, error) {
	for index := range slowBodyPieces {
		time.Sleep(slowBodyTime / slowBodyPieces)
		if n, err := c.Conn.Write(data[len(data)*index/slowBodyPieces : len(data)*(index+1)/slowBodyPieces]); err != nil {
			return n, err
		}
	}
	c.wroteAt = time.Now()
	return len(data), nil
}

// Guards against a stop that cuts off a request whose last byte arrives late, with or without
// the time to serve it, after the gateway has read it.
func TestStopAnswersRequestsWithSlowBody(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := concurrency.NewGroup(context.Background())
		counts := make(chan int, 1000)
		start := time.Now()
		callers.Go(func(context.Context) { i.stopProcess(gatewayName(0)) })
		for ; time.Since(start) < bounds.GracePeriod; time.Sleep(100 * time.Millisecond) {
			for _, path := range []string{"/status/1", "/book/1"} {
				call := i.call(0, path)
				call.Timeout = 2 * time.Second
				sentAt := time.Since(start)
				callers.Go(func(context.Context) {
					conn, err := i.network.ForProcess("caller").Dial(call.Gateway)
					if err != nil {
						return
					}
					slow := &slowConn{Conn: conn}
					response, err := platformtest.Do(dialOnce(slow), call)
					runs, _ := i.runsOfAttempt(call.AttemptID)
					switch {
					case err != nil && slow.wroteAt.IsZero() && len(runs) == 0:
						// The gateway closed the connection before it had read the request.
					case err == nil && response.Complete && (response.Status == fasthttp.StatusOK || response.Status == fasthttp.StatusServiceUnavailable && len(runs) == 0):
						counts <- response.Status
					default:
						t.Errorf("%s begun %s after the stop: response %+v, error %v, %d runs", path, sentAt, response, err, len(runs))
					}
				})
			}
		}
		callers.Wait()
		close(counts)
		byStatus := map[int]int{}
		for status := range counts {
			byStatus[status]++
		}
		if byStatus[fasthttp.StatusOK] == 0 || byStatus[fasthttp.StatusServiceUnavailable] == 0 {
			t.Errorf("responses %v, want some of both kinds", byStatus)
		}
		t.Logf("responses %v, exit after %s", byStatus, time.Since(start))
	})
}
