package settings_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/settings"
)

const upstreamFile = `host: ub-u1
failure_domain: ub-bayangol
roles: [upstream]
rpc: 127.0.2.1:7000
metrics: 127.0.2.1:9100
tls:
  insecure: true
control:
  servers:
    - name: ub-c1
      rpc: 127.0.3.1:7000
tunnel:
  listen: 127.0.2.1:6081
  fabric: 127.0.0.1:6081
  keys:
    - id: 1
      secret: AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=
upstream:
  carries: [sample-book]
  backend: 127.0.2.1:8080
  slots: 3
`

// Guards against a valid file that is refused or parsed into wrong values.
var _ = It("parses a valid file", func() {
	s, err := settings.Parse("u1.yaml", []byte(upstreamFile))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Has(settings.RoleUpstream)).To(BeTrue())
	Expect(s.Has(settings.RoleEntry)).To(BeFalse())
	Expect(s.Upstream.Slots).To(Equal(3))
	Expect(s.Upstream.MaxConnections).To(Equal(2000))
	Expect(s.Upstream.ProbeInterval).To(Equal(10 * time.Second))
	Expect(s.Tunnel.Keys).To(HaveLen(1))
	Expect(s.Control.Servers[0].RPC.String()).To(Equal("127.0.3.1:7000"))
})

// Guards against an invalid file that is accepted, and against an error that does not name the file, line and key.
var _ = Describe("reports the file, line and key of each error", func() {
	cases := map[string]struct {
		old, new string
		code     result.Code
		where    string
	}{
		"unknown key":                {"  slots: 3", "  slot: 3", result.SettingsUnknownKey, `f.yaml:21: key "slot"`},
		"bad address":                {"rpc: 127.0.2.1:7000\nm", "rpc: ub-u1:7000\nm", result.SettingsBadValue, `f.yaml:4: key "rpc"`},
		"port zero":                  {"127.0.2.1:9100", "127.0.2.1:0", result.SettingsBadValue, `f.yaml:5: key "metrics"`},
		"missing failure domain":     {"failure_domain: ub-bayangol\n", "", result.SettingsMissing, `key "failure_domain"`},
		"missing host":               {"host: ub-u1\n", "", result.SettingsMissing, `key "host"`},
		"bad host":                   {"host: ub-u1", "host: UB_U1", result.SettingsBadValue, `f.yaml:1: key "host"`},
		"no role":                    {"[upstream]", "[]", result.SettingsMissing, `f.yaml:3: key "roles"`},
		"unknown role":               {"[upstream]", "[proxy]", result.SettingsBadValue, `key "roles[0]"`},
		"role twice":                 {"[upstream]", "[upstream, upstream]", result.SettingsContradictory, `key "roles[1]"`},
		"entry and upstream":         {"[upstream]", "[upstream, entry]", result.SettingsContradictory, `key "roles"`},
		"upstream without role":      {"[upstream]", "[entry]", result.SettingsContradictory, `key "tunnel.fabric"`},
		"control without data":       {"[upstream]", "[upstream, control]", result.SettingsMissing, `key "control.signing_key"`},
		"signing key without role":   {"control:\n", "control:\n  signing_key: k\n", result.SettingsContradictory, `f.yaml:9: key "control.signing_key"`},
		"bootstrap without identity": {"control:\n", "control:\n  bootstrap: true\n", result.SettingsMissing, `f.yaml:11: key "control.servers[0].identity"`},
		"plain text not explicit":    {"  insecure: true", "  insecure: false", result.SettingsMissing, `key "tls.certificate"`},
		"files and plain text":       {"  insecure: true", "  insecure: true\n  key: k.pem", result.SettingsContradictory, `f.yaml:8: key "tls.key"`},
		"slots out of range":         {"slots: 3", "slots: 0", result.SettingsBadValue, `f.yaml:21: key "upstream.slots"`},
		"slots not a number":         {"slots: 3", "slots: many", result.SettingsBadValue, `f.yaml:21: key "slots"`},
		"short secret":               {"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=", "AAEC", result.SettingsBadValue, `f.yaml:17: key "tunnel.keys[0].secret"`},
		"secret not base64":          {"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=", "###", result.SettingsBadValue, `key "tunnel.keys[0].secret"`},
		"key id out of range":        {"- id: 1", "- id: 0", result.SettingsBadValue, `f.yaml:16: key "tunnel.keys[0].id"`},
		"silence too long":           {"  slots: 3", "  probe_interval: 30s", result.SettingsContradictory, `key "upstream.probe_interval"`},
		"probe interval too short": {"  slots: 3", "  probe_interval: 1ms", result.SettingsBadValue,
			`key "upstream.probe_interval"`},
		"no service":            {"[sample-book]", "[]", result.SettingsMissing, `key "upstream.carries"`},
		"no backend":            {"  backend: 127.0.2.1:8080\n", "", result.SettingsMissing, `key "upstream.backend"`},
		"log level":             {"host: ub-u1", "host: ub-u1\nlog_level: loud", result.SettingsBadValue, `f.yaml:2: key "log_level"`},
		"pprof without metrics": {"metrics: 127.0.2.1:9100", "pprof: true", result.SettingsContradictory, `f.yaml:5: key "pprof"`},
		"server twice": {"tunnel:\n", "    - name: ub-c1\n      rpc: 127.0.3.2:7000\ntunnel:\n",
			result.SettingsContradictory, `f.yaml:12: key "control.servers[1].name"`},
		"not YAML": {"host: ub-u1", "host: [", result.SettingsUnreadable, "f.yaml"},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			c := cases[name]
			Expect(upstreamFile).To(ContainSubstring(c.old))
			_, err := settings.Parse("f.yaml", []byte(strings.Replace(upstreamFile, c.old, c.new, 1)))
			Expect(result.CodeOf(err)).To(Equal(c.code), "%v", err)
			Expect(err.Error()).To(ContainSubstring(c.where))
		})
	}
})

// Guards against a missing file that is reported without a result code.
var _ = It("reports a missing file with a result code", func() {
	_, err := settings.Load("does-not-exist.yaml")
	Expect(result.CodeOf(err)).To(Equal(result.SettingsUnreadable))
})
