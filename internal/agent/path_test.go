package agent_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/standin/backend"
	"github.com/plantainseam/plantainseam/standin/site"
)

const (
	pagesID model.ServiceID = 1
	linesID model.ServiceID = 2
)

var (
	pagesAddr = netip.MustParseAddrPort("10.9.0.1:80")
	linesAddr = netip.MustParseAddrPort("10.9.0.2:7000")
)

// newSite starts a site with entry VMs e1 to e3 and the services pages and lines, both without upstreams.
func newSite(t testing.TB, options site.Options) *site.Site {
	t.Helper()
	g := NewWithT(t)
	s, err := site.New(options)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(s.Close()).To(Succeed()) })
	s.AddService(model.Service{ID: pagesID, Name: "pages", Frontend: pagesAddr, Kind: model.KindStream, Seed: 11})
	s.AddService(model.Service{ID: linesID, Name: "lines", Frontend: linesAddr, Kind: model.KindStream, Seed: 12})
	for i := 1; i <= 3; i++ {
		_, err := s.AddEntry(model.HostID(fmt.Sprintf("e%d", i)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	return s
}

// addUpstream starts an agent and an upstream process per service and makes the host an active member of both services.
func addUpstream(t testing.TB, s *site.Site, host model.HostID) (*backend.HTTP, *backend.Lines) {
	t.Helper()
	g := NewWithT(t)
	web, err := backend.NewHTTP(string(host), 3)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(web.Close)
	text, err := backend.NewLines(string(host))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(text.Close)
	_, err = s.AddAgent(host, map[model.ServiceID]netip.AddrPort{pagesID: web.Addr(), linesID: text.Addr()})
	g.Expect(err).NotTo(HaveOccurred())
	s.SetMember(pagesID, host, model.UpstreamActive)
	s.SetMember(linesID, host, model.UpstreamActive)
	return web, text
}

// Guards against a data path that loses or misroutes packets of a connection when each packet passes through a random
// entry VM.
func TestPageOverThreeEntries(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, site.Options{Seed: 1})
	for i := 1; i <= 3; i++ {
		addUpstream(t, s, model.HostID(fmt.Sprintf("u%d", i)))
	}
	host, err := s.Caller("10.1.0.1")
	g.Expect(err).NotTo(HaveOccurred())
	servers := map[string]bool{}
	for i := range 30 {
		client := host.Client()
		answer, err := client.Get(fmt.Sprintf("http://%s/page/%d", pagesAddr, i))
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		g.Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close()
		g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
		server := answer.Header.Get(backend.ServedBy)
		g.Expect(string(body)).To(Equal(fmt.Sprintf("%s GET /page/%d 0\n", server, i)))
		servers[server] = true
		client.CloseIdleConnections()
	}
	g.Expect(servers).To(HaveLen(3), "every upstream serves some of 30 connections")
	for i := 1; i <= 3; i++ {
		g.Expect(s.Entry(model.HostID(fmt.Sprintf("e%d", i))).Counters().Forwarded).To(BeNumerically(">", 0))
	}
}

// Guards against a data path that supports only IPv4.
func TestPageOverIPv6(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, site.Options{Seed: 14})
	const id model.ServiceID = 3
	frontend := netip.MustParseAddrPort("[fd00::9]:80")
	web, err := backend.NewHTTP("u1", 3)
	g.Expect(err).NotTo(HaveOccurred())
	defer web.Close()
	s.AddService(model.Service{ID: id, Name: "v6", Frontend: frontend, Kind: model.KindStream, Seed: 13})
	_, err = s.AddAgent("u1", map[model.ServiceID]netip.AddrPort{id: web.Addr()})
	g.Expect(err).NotTo(HaveOccurred())
	s.SetMember(id, "u1", model.UpstreamActive)
	host, err := s.Caller("fd00::1")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := host.Client().Get(fmt.Sprintf("http://%s/six", frontend))
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("u1 GET /six 0\n"))
}
