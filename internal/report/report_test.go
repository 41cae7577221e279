package report_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/plantainseam/plantainseam/internal/account"
	"github.com/plantainseam/plantainseam/internal/catalog"
	"github.com/plantainseam/plantainseam/internal/report"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/catalogpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// key derives a key pair from one byte, so that reports are equal in every run.
func key(b byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{b}, ed25519.SeedSize))
}

var trust = report.Trust{
	System:    key(1).Public().(ed25519.PublicKey),
	Operators: map[string]ed25519.PublicKey{"ann": key(2).Public().(ed25519.PublicKey)},
}

// closed returns a catalog with a closed service whose account has each kind of outcome. Totals are applied twice, as
// after a lost answer.
func closed(t testing.TB) *catalog.Catalog {
	state := &catalogpb.State{Revision: 9, LastService: 1, Services: []*catalogpb.Service{{
		Id: 1, Name: "iarratas", Frontend: "10.0.0.1:80", Kind: 2, Closed: true, CreatedUnixMs: 1000, ClosedUnixMs: 90_000,
		ByIntent: []*catalogpb.IntentTotal{{Intent: 4, Unit: "request", Count: 5}},
	}}, Changes: []*catalogpb.Change{
		{Index: 1, AtUnixMs: 2000, Revision: 3, Service: 1, Text: "draining h1", Host: "h1", Intent: 4, Operator: "ann", Plan: 2, ConfirmedBy: "bob", ConfirmedUnixMs: 1900},
		{Index: 2, AtUnixMs: 3000, Revision: 4, Service: 1, Text: "host h2 declared lost", Host: "h2", Uncertain: true},
		{Index: 3, AtUnixMs: 3000, Revision: 4, Service: 2, Text: "another service"},
	}}
	raw, err := proto.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	c := catalog.New()
	if err := c.Restore(raw); err != nil {
		t.Fatal(err)
	}
	totals := &catalogpb.Totals{}
	for _, host := range []string{"h1", "h2"} {
		totals.Hosts = append(totals.Hosts, &catalogpb.HostTotals{Host: host, Incarnation: 1, Totals: []*memberpb.AccountTotal{
			{Service: 1, Unit: "request", Code: uint32(account.CodeStarted), Count: 17}, // two of them never end
			{Service: 1, Unit: "flow", Code: uint32(account.CodeStarted), Count: 1},
			{Service: 1, Unit: "request", Count: 10},
			{Service: 1, Unit: "request", Code: uint32(result.RequestOutcomeUnknown), Count: 2},
			{Service: 1, Unit: "request", Code: uint32(result.RequestQueueFull), Count: 3},
			{Service: 1, Unit: "flow", Code: uint32(result.FlowSilent), Count: 1},
		}, Callers: []*memberpb.CallerTotal{
			{Service: 1, Caller: "192.0.2.1", Unit: "request", Count: 6, LastUnixMs: 80_000},
			{Service: 1, Caller: "192.0.2.2", Unit: "request", Count: 4, LastUnixMs: 81_000, Intent: 4},
			{Service: 1, Caller: "192.0.2.1", Unit: "request", Code: uint32(result.RequestQueueFull), Count: 2},
		}})
	}
	cmd, err := catalog.Encode(&catalogpb.Command{Do: &catalogpb.Command_Totals{Totals: totals}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		c.Apply(uint64(i+4), time.UnixMilli(90_000), cmd)
	}
	return c
}

func signed(t testing.TB) []byte {
	r, err := report.Build(closed(t), "iarratas")
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Sign(report.RoleSystem, "plantainseam", key(1)); err != nil {
		t.Fatal(err)
	}
	if err := r.Sign(report.RoleOperator, "ann", key(2)); err != nil {
		t.Fatal(err)
	}
	raw, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against sums that count a resent total twice, unknown outcomes that count as known, and gaps that are not
// stated.
func TestSumsAndUnknowns(t *testing.T) {
	g := NewWithT(t)
	r, err := report.Build(closed(t), "iarratas")
	g.Expect(err).NotTo(HaveOccurred())
	var totals []report.Total
	var unknown []string
	changes := 0
	for _, rec := range r.Records {
		switch {
		case rec.Total != nil:
			totals = append(totals, *rec.Total)
		case rec.Unknown != nil:
			unknown = append(unknown, rec.Unknown.Text)
		case rec.Change != nil:
			changes++
		}
	}
	g.Expect(totals).To(Equal([]report.Total{
		{Unit: "flow", Issued: 2, Broken: 2}, {Unit: "request", Issued: 34, Normal: 20, Refused: 6, Unknown: 8, Unreported: 4},
	}))
	g.Expect(changes).To(Equal(2))
	g.Expect(strings.Join(unknown, "\n")).To(And(
		ContainSubstring("outcome of these requests is unknown"),
		ContainSubstring("ends of these requests were not reported"),
		ContainSubstring("h2 declared lost; work that ended there"),
		ContainSubstring("callers of these flows are not listed"),
	))
	_, err = report.Build(closed(t), "none")
	g.Expect(result.CodeOf(err)).To(Equal(result.PlanUnknownService))
}

// rechain makes the hashes fit changed records, as a forger without a key can.
func rechain(r *report.Report) {
	previous := ""
	for i := range r.Records {
		r.Records[i].Hash = ""
		body, _ := json.Marshal(r.Records[i])
		sum := sha256.Sum256(append([]byte(previous), body...))
		previous = hex.EncodeToString(sum[:])
		r.Records[i].Hash = previous
	}
}

// Guards against a changed, cut or unsigned report that verifies.
func TestVerify(t *testing.T) {
	raw := signed(t)
	edit := func(f func(r *report.Report)) []byte {
		r, _ := report.Parse(raw)
		f(r)
		out, _ := r.Encode()
		return out
	}
	other, _ := report.Build(closed(t), "iarratas")
	other.Sign(report.RoleSystem, "plantainseam", key(3))
	other.Sign(report.RoleOperator, "ann", key(2))
	foreign, _ := other.Encode()
	for name, c := range map[string]struct {
		raw  []byte
		code result.Code
	}{
		"whole":               {raw, result.OK},
		"count":               {bytes.Replace(raw, []byte(`"count": 12`), []byte(`"count": 13`), 1), result.ReportInvalid},
		"operator of change":  {bytes.Replace(raw, []byte(`"operator": "ann"`), []byte(`"operator": "eve"`), 1), result.ReportInvalid},
		"record removed":      {edit(func(r *report.Report) { r.Records = append(r.Records[:2], r.Records[3:]...) }), result.ReportInvalid},
		"records cut":         {edit(func(r *report.Report) { r.Records = r.Records[:3] }), result.ReportInvalid},
		"all records removed": {edit(func(r *report.Report) { r.Records = nil }), result.ReportInvalid},
		"operator removed":    {edit(func(r *report.Report) { r.Signatures = r.Signatures[:1] }), result.ReportUnsigned},
		"both removed":        {edit(func(r *report.Report) { r.Signatures = nil }), result.ReportUnsigned},
		"system removed":      {edit(func(r *report.Report) { r.Signatures = r.Signatures[1:] }), result.ReportInvalid},
		"name changed":        {edit(func(r *report.Report) { r.Signatures[1].Name = "bob" }), result.ReportInvalid},
		"unknown system key":  {foreign, result.ReportInvalid},
		"unknown member":      {bytes.Replace(raw, []byte(`"format"`), []byte(`"extra": 1, "format"`), 1), result.ReportInvalid},
		"more during intents than in all": {edit(func(r *report.Report) {
			for i := range r.Records {
				if r.Records[i].During != nil {
					r.Records[i].During.Count = 500
				}
			}
			rechain(r)
		}), result.ReportInvalid},
		"trailing data": {append(bytes.Clone(raw), "{}"...), result.ReportInvalid},
		"other format":  {bytes.Replace(raw, []byte("report-1"), []byte("report-2"), 1), result.ReportInvalid},
		"empty":         {nil, result.ReportInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := report.Verify(c.raw, trust)
			g.Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
		})
	}
}

// Guards against an operator's signature that does not stand last.
func TestSigningOrder(t *testing.T) {
	g := NewWithT(t)
	r, err := report.Build(closed(t), "iarratas")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Sign(report.RoleOperator, "ann", key(2))).NotTo(Succeed())
	g.Expect(r.Sign(report.RoleSystem, "s", key(1))).To(Succeed())
	g.Expect(r.Sign(report.RoleSystem, "s", key(1))).NotTo(Succeed())
	g.Expect(r.Sign(report.RoleOperator, "ann", key(2))).To(Succeed())
	g.Expect(r.Sign(report.RoleOperator, "bob", key(2))).NotTo(Succeed())
}

// Guards against a printed report that lacks a part of the signed one, or that a name from outside can forge.
func TestTextAndPage(t *testing.T) {
	g := NewWithT(t)
	r, err := report.Verify(signed(t), trust)
	g.Expect(err).NotTo(HaveOccurred())
	r.Records[1].Change.Operator = "<script>\nforged line"
	var text, page bytes.Buffer
	g.Expect(r.WriteText(&text)).To(Succeed())
	g.Expect(r.WritePage(&page)).To(Succeed())
	for _, part := range []string{"iarratas", "192.0.2.2", "request-outcome-unknown", "confirmed at", "draining h1"} {
		g.Expect(text.String()).To(ContainSubstring(part))
		g.Expect(page.String()).To(ContainSubstring(part))
	}
	g.Expect(text.String()).To(MatchRegexp(`4 +request +completed +5`))
	g.Expect(text.String()).NotTo(ContainSubstring("\nforged"))
	g.Expect(page.String()).NotTo(ContainSubstring("<script>"))
	g.Expect(strings.Count(page.String(), "<svg")).To(Equal(2))
}

// FuzzParse guards against a report that makes the parser or the printers fail other than by result.ReportInvalid, and
// against changed bytes that verify as another report.
func FuzzParse(f *testing.F) {
	raw := signed(f)
	f.Add(raw)
	f.Add([]byte(`{"format":"plantainseam-report-1","records":[{"sequence":0,"service":{}}],"signatures":[{}]}`))
	f.Add([]byte(`{"records":null}`))
	want, _ := report.Parse(raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := report.Parse(data)
		if err != nil {
			if result.CodeOf(err) != result.ReportInvalid {
				t.Fatal(err)
			}
			return
		}
		if err := r.WriteText(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
		if _, err := report.Verify(data, trust); err == nil {
			got, _ := json.Marshal(r)
			same, _ := json.Marshal(want)
			if !bytes.Equal(got, same) {
				t.Fatal("a report that nobody signed verifies")
			}
		}
	})
}
