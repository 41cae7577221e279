package report

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Roles of signatures, in the order in which they must stand.
const (
	RoleSystem   = "system"
	RoleOperator = "operator"
)

// Signature is an ed25519 signature over the chain's last hash and every signature before it.
type Signature struct {
	Role      string `json:"role"`
	Name      string `json:"name"`
	PublicKey string `json:"public_key"` // base64
	Value     string `json:"value"`      // base64
}

// Sign appends a signature. The system signs first and an operator last.
func (r *Report) Sign(role, name string, key ed25519.PrivateKey) error {
	if len(key) != ed25519.PrivateKeySize {
		return result.Errorf(result.ReportUnsigned, "no valid %s key", role)
	}
	want := RoleSystem
	if len(r.Signatures) > 0 {
		want = RoleOperator
	}
	if role != want || len(r.Signatures) > 1 {
		return result.Errorf(result.ReportInvalid, "a %s signature cannot follow %d others", role, len(r.Signatures))
	}
	sig := Signature{Role: role, Name: name, PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))}
	sig.Value = base64.StdEncoding.EncodeToString(ed25519.Sign(key, r.signed(len(r.Signatures), sig)))
	r.Signatures = append(r.Signatures, sig)
	return nil
}

// signed returns the bytes that signature i covers.
func (r *Report) signed(i int, sig Signature) []byte {
	text := fmt.Sprintf("%s\n%d\n%s\n%q %q %q\n", Format, len(r.Records), r.head(), sig.Role, sig.Name, sig.PublicKey)
	for _, s := range r.Signatures[:i] {
		text += s.Value + "\n"
	}
	return []byte(text)
}

// Trust holds the public keys that a verifier knows: the system's key and each operator's key by name. Without a system
// key the keys in the file are taken, which shows only that the file is whole.
type Trust struct {
	System    ed25519.PublicKey
	Operators map[string]ed25519.PublicKey
}

// Verify checks a report file offline. It returns result.ReportInvalid when the chain, the sums or a signature are
// wrong, and result.ReportUnsigned when the report is whole but no operator has signed it.
func Verify(raw []byte, trust Trust) (*Report, error) {
	r, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if err := r.verifyChain(); err != nil {
		return nil, err
	}
	if err := r.verifySums(); err != nil {
		return nil, err
	}
	if err := r.verifySignatures(trust); err != nil {
		return r, err
	}
	return r, nil
}

func invalid(format string, args ...any) error {
	return result.Errorf(result.ReportInvalid, format, args...)
}

func (r *Report) verifyChain() error {
	if r.Format != Format {
		return invalid("unknown format %q", r.Format)
	}
	previous := ""
	for i, rec := range r.Records {
		if rec.Sequence != i {
			return invalid("record %d has number %d", i, rec.Sequence)
		}
		if rec.bodies() != 1 || (rec.Service != nil) != (i == 0) {
			return invalid("record %d has the wrong kind", i)
		}
		if hashRecord(previous, rec) != rec.Hash {
			return invalid("record %d does not match its hash", i)
		}
		previous = rec.Hash
	}
	if len(r.Records) == 0 {
		return invalid("the report is empty")
	}
	return nil
}

func (rec Record) bodies() int {
	n := 0
	for _, set := range []bool{
		rec.Service != nil, rec.Change != nil, rec.Caller != nil, rec.Unknown != nil, rec.Sum != nil, rec.During != nil, rec.Total != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// verifySums recomputes the sums from the caller records and the totals from the sums.
func (r *Report) verifySums() error {
	listed := map[sumKey]uint64{}
	during := map[sumKey]uint64{}
	var sums []Sum
	want := map[string]Total{}
	for _, rec := range r.Records {
		switch {
		case rec.Caller != nil:
			listed[sumKey{rec.Caller.Unit, rec.Caller.Code}] += rec.Caller.Count
		case rec.Sum != nil:
			sums = append(sums, *rec.Sum)
		case rec.During != nil:
			during[sumKey{rec.During.Unit, rec.During.Code}] += rec.During.Count
		case rec.Total != nil:
			want[rec.Total.Unit] = *rec.Total
		}
	}
	for _, s := range sums {
		key := sumKey{s.Unit, s.Code}
		if s.Listed != listed[key] || s.Count != s.Listed+s.Unlisted {
			return invalid("the sum of %s %s does not match its records", s.Unit, s.Outcome)
		}
		if during[key] > s.Count {
			return invalid("more %s %s during intents than in all", s.Unit, s.Outcome)
		}
		delete(listed, key)
		delete(during, key)
	}
	if len(listed) > 0 || len(during) > 0 {
		return invalid("caller or intent records without a sum")
	}
	have := totals(sums)
	for _, t := range have {
		if want[t.Unit] != t {
			return invalid("the total of %ss does not match the sums", t.Unit)
		}
	}
	if len(have) != len(want) {
		return invalid("a total without sums")
	}
	return nil
}

func (r *Report) verifySignatures(trust Trust) error {
	roles := []string{RoleSystem, RoleOperator}
	if len(r.Signatures) > len(roles) {
		return invalid("%d signatures", len(r.Signatures))
	}
	for i, sig := range r.Signatures {
		if sig.Role != roles[i] {
			return invalid("signature %d is of role %q", i, sig.Role)
		}
		if err := r.verifySignature(i, sig, trust); err != nil {
			return err
		}
	}
	if len(r.Signatures) < len(roles) {
		return result.Errorf(result.ReportUnsigned, "%d of %d signatures", len(r.Signatures), len(roles))
	}
	return nil
}

func (r *Report) verifySignature(i int, sig Signature, trust Trust) error {
	key, err := base64.StdEncoding.DecodeString(sig.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return invalid("public key of %s", sig.Name)
	}
	value, err := base64.StdEncoding.DecodeString(sig.Value)
	if err != nil {
		return invalid("signature of %s: %w", sig.Name, err)
	}
	if !ed25519.Verify(key, r.signed(i, sig), value) {
		return invalid("the signature of %s does not verify", sig.Name)
	}
	if trust.System == nil {
		return nil
	}
	known := trust.System
	if sig.Role == RoleOperator {
		known = trust.Operators[sig.Name]
	}
	if !known.Equal(ed25519.PublicKey(key)) {
		return invalid("the key of %s %s is not the known one", sig.Role, sig.Name)
	}
	return nil
}
