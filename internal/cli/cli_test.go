package cli

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/pki"
	"github.com/plantainseam/plantainseam/internal/report"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// run executes a command line and returns status, output and faults.
func run(args ...string) (int, string, string) {
	var out, faults bytes.Buffer
	status := Run(args, &out, &faults)
	return status, out.String(), faults.String()
}

// Guards against a command that ends with status 0 although it did nothing, and against help that counts as a fault.
var _ = DescribeTable("exit status of arguments", func(status int, text string, args ...string) {
	got, out, faults := run(args...)
	Expect(got).To(Equal(status))
	Expect(out + faults).To(ContainSubstring(text))
},
	Entry("help", 0, "Available commands", "--help"),
	Entry("help of a command", 0, "--deadline", "retire-host", "--help"),
	Entry("no command", 2, "specify one command"),
	Entry("unknown command", 2, "Unknown command", "frobnicate"),
	Entry("unknown flag", 2, "unknown flag", "list", "--loud"),
	Entry("missing key", 2, "--key", "retire-host", "--host", "u1"),
	Entry("no control VM", 2, "--control is required", "list"),
	Entry("bad time", 2, "neither an RFC 3339 time nor a duration", "--control", "127.0.0.1:1", "--insecure", "retire-host", "--key", "k", "--host", "u1", "--deadline", "friday"),
	Entry("missing credentials", 1, "credentials", "--control", "127.0.0.1:1", "list"),
	Entry("report that is no report", result.ReportInvalid.Exit(), "PS5401", "report", "print", "--file", os.DevNull),
)

// fakeIntents answers every Plan and Get with the same response.
type fakeIntents struct {
	intentpb.Intents
	response *intentpb.IntentResponse
	asked    *intentpb.PlanRequest
}

func (f *fakeIntents) Plan(_ context.Context, r *intentpb.PlanRequest) (*intentpb.IntentResponse, error) {
	f.asked = r
	return f.response, nil
}

func serve(f *fakeIntents) []string {
	server := httptest.NewServer(intentpb.NewIntentsServer(f))
	DeferCleanup(server.Close)
	return []string{"--insecure", "--operator", "ada", "--control", strings.TrimPrefix(server.URL, "http://")}
}

// Guards against a plan that is printed without what the operator has to read, and a refusal that looks like success.
var _ = Describe("plans", func() {
	intent := &intentpb.Intent{
		Id: 3, Operator: "ada", Key: "k", State: intentpb.State_STATE_PLANNED,
		Plan: &intentpb.Plan{
			Number: 2, Revision: 9, ExpectedMs: 3400, Flows: 6, Requests: 1, Risks: []string{"few hosts remain"},
			Steps:    []*intentpb.Step{{Text: "mark [u1] draining", Flows: 6, Requests: 1}},
			Capacity: []*intentpb.Capacity{{FailureDomain: "ub-campus", Hosts: 1, Slots: 3, Connections: 2000}},
		},
	}
	It("prints the plan and how to confirm it", func() {
		f := &fakeIntents{response: &intentpb.IntentResponse{Intent: intent}}
		status, out, faults := run(append(serve(f), "retire-host", "--key", "k", "--host", "u1", "--deadline", "2h")...)
		Expect(status).To(BeZero(), faults)
		for _, part := range []string{
			"mark [u1] draining", "touches 6 flows and 1 requests", "ub-campus", "few hosts remain", "revision 9",
			"nothing has changed", "--intent 3 --plan 2",
		} {
			Expect(out).To(ContainSubstring(part))
		}
		Expect(f.asked.Spec.GetRetire().Host).To(Equal("u1"))
		Expect(f.asked.Spec.GetRetire().DeadlineUnixMs).To(BeNumerically(">", time.Now().UnixMilli()))
	})
	It("prints JSON", func() {
		f := &fakeIntents{response: &intentpb.IntentResponse{Intent: intent}}
		status, out, _ := run(append(serve(f), "--output", "json", "return-host", "--key", "k", "--host", "u1")...)
		Expect(status).To(BeZero())
		Expect(out).To(ContainSubstring(`"plan"`))
		Expect(f.asked.Spec.GetReturn().Host).To(Equal("u1"))
	})
	It("ends a refusal with the status of its code", func() {
		f := &fakeIntents{response: &intentpb.IntentResponse{Code: uint32(result.PlanLastUpstream), Detail: "u1 is the last"}}
		status, _, faults := run(append(serve(f), "retire-host", "--key", "k", "--host", "u1")...)
		Expect(status).To(Equal(51))
		Expect(faults).To(ContainSubstring("PS5103 plan-last-upstream: u1 is the last"))
	})
})

// Guards against a report that can be verified before the operator signed it, or with somebody else's key.
var _ = It("signs and verifies a report", func() {
	dir := GinkgoT().TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	for _, name := range []string{"system", "ada", "eve"} {
		Expect(pki.CreateSigningKey(path(name))).To(Succeed())
	}
	system, err := pki.LoadSigningKey(path("system"))
	Expect(err).NotTo(HaveOccurred())
	writeReport(path("report"), system)
	verify := func(key string) int {
		status, _, _ := run("report", "verify", "--file", path("report"), "--system-key", path("system.pub"), "--name", "ada", "--operator-key", path(key))
		return status
	}
	Expect(verify("ada.pub")).To(Equal(result.ReportUnsigned.Exit()))
	status, _, faults := run("report", "sign", "--file", path("report"), "--name", "ada", "--signing-key", path("ada"))
	Expect(status).To(BeZero(), faults)
	Expect(verify("ada.pub")).To(BeZero())
	Expect(verify("eve.pub")).To(Equal(result.ReportInvalid.Exit()))
	status, _, _ = run("report", "print", "--file", path("report"), "--page", path("page.html"))
	Expect(status).To(BeZero())
	page, err := os.ReadFile(path("page.html"))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(page)).To(ContainSubstring("Closing report of scan-vault"))
})

// writeReport writes the report of an empty service with the system's signature.
func writeReport(path string, key ed25519.PrivateKey) {
	r, err := report.Build(closedService(), "scan-vault")
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Sign(report.RoleSystem, "plantainseam", key)).To(Succeed())
	raw, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
}

func closedService() *catalog.Catalog {
	raw, err := proto.Marshal(&catalogpb.State{Revision: 1, LastService: 1, Services: []*catalogpb.Service{{
		Id: 1, Name: "scan-vault", Frontend: "10.0.0.1:80", Kind: 1, Closed: true,
	}}})
	Expect(err).NotTo(HaveOccurred())
	c := catalog.New()
	Expect(c.Restore(raw)).To(Succeed())
	return c
}
