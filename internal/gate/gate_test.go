package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/gate"
	"github.com/plantainseam/plantainseam/standin/httpcall"
	"github.com/plantainseam/plantainseam/standin/upstream"
)

// Guards against a retry through the same or another agent that runs the request again or gets another answer.
func TestRetryJoinsFirstRun(t *testing.T) {
	g := NewWithT(t)
	c := withCluster(t, 2, plain)
	for _, host := range []string{"host-0", "host-0", "host-1", "host-1"} {
		r := c.send(context.Background(), "host-0", "POST", "k1", "match-1")
		g.Expect(r).To(Equal(httpcall.Reply{Status: 200, Code: "0", Body: "ran match-1"}), host)
	}
	r := c.send(context.Background(), "host-1", "POST", "k1", "match-1")
	g.Expect(r.Body).To(Equal("ran match-1"))
	g.Expect(c.runs("match-1")).To(Equal(1))
	r = c.send(context.Background(), "host-1", "POST", "k1", "other")
	g.Expect(r.Code).To(Equal("3101"))
	g.Expect(c.runs("other")).To(BeZero())
	r = c.send(context.Background(), "host-1", "POST", "", "unkeyed")
	g.Expect(r.Code).To(Equal("3010"))
	r = c.send(context.Background(), "host-1", "POST", "k2", "late", gate.HeaderDeadline, time.Now().Add(-time.Second).Format(time.RFC3339Nano))
	g.Expect(r.Code).To(Equal("3003"))
	for _, n := range c.nodes {
		g.Expect(n.account.Check()).To(BeEmpty())
	}
}

// Guards against a truncated answer that ends like a whole one, at sizes below and above the buffer limits.
func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	for _, size := range []int{100, 1 << 20, 3 << 20} {
		for _, method := range []string{"POST", "GET"} {
			g := NewWithT(t)
			c := withCluster(t, 1, func(*http.Request, string) upstream.Behaviour { return upstream.Behaviour{Cut: true, Size: size} })
			r := c.send(context.Background(), "host-0", method, "k", "scan")
			g.Expect(r.Err != nil || r.Code == "3203").To(BeTrue(), "%d %s %v", size, method, r.Status)
		}
	}
}

// Guards against a long answer that is altered between upstream and caller.
func TestLongAnswerIsWhole(t *testing.T) {
	g := NewWithT(t)
	c := withCluster(t, 1, func(*http.Request, string) upstream.Behaviour { return upstream.Behaviour{Size: 5 << 20} })
	for _, method := range []string{"GET", "POST"} {
		r := c.send(context.Background(), "host-0", method, "k", "scan")
		g.Expect(r.Err).NotTo(HaveOccurred())
		g.Expect(r.Body).To(HaveLen(5 << 20))
	}
	r := c.send(context.Background(), "host-0", "POST", "k", "scan")
	g.Expect(r.Code).To(Equal("3202"))
	g.Expect(c.runs("scan")).To(Equal(2))
}
