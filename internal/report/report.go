// Package report makes the closing report of a service: its callers and the outcome of their flows and requests, each
// change with its operator, plan and confirmation, what is unknown, and exact sums. The records form a hash chain that
// the system and then the operator sign; Verify needs nothing but the file.
package report

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Format names the version of the file format.
const Format = "plantainseam-report-1"

// MaxSize bounds a report file in bytes.
const MaxSize = 64 << 20

// Report is a signed list of chained records.
type Report struct {
	Format     string      `json:"format"`
	Records    []Record    `json:"records"`
	Signatures []Signature `json:"signatures"`
}

// Record is one statement. Exactly one of its bodies is set. Hash is the SHA-256 of the previous record's hash and the
// JSON of this record without its hash, in hexadecimal.
type Record struct {
	Sequence int      `json:"sequence"` // from 0 without gaps
	Service  *Service `json:"service,omitempty"`
	Change   *Change  `json:"change,omitempty"`
	Caller   *Caller  `json:"caller,omitempty"`
	Unknown  *Unknown `json:"unknown,omitempty"`
	Sum      *Sum     `json:"sum,omitempty"`
	During   *During  `json:"during,omitempty"`
	Total    *Total   `json:"total,omitempty"`
	Hash     string   `json:"hash,omitempty"`
}

// Service is the first record.
type Service struct {
	ID            uint32 `json:"id"`
	Name          string `json:"name"`
	Frontend      string `json:"frontend"`
	Kind          string `json:"kind"`
	CreatedUnixMs int64  `json:"created_unix_ms"`
	ClosedUnixMs  int64  `json:"closed_unix_ms"` // 0 while the service is open: the report is then preliminary
	Revision      uint64 `json:"revision"`       // configuration at the time of the report
}

// Change is a change of the service or of one of its hosts.
type Change struct {
	AtUnixMs        int64  `json:"at_unix_ms"`
	Revision        uint64 `json:"revision"`
	Text            string `json:"text"`
	Host            string `json:"host,omitempty"`
	Intent          uint64 `json:"intent,omitempty"` // 0 for a change without an operator
	Operator        string `json:"operator,omitempty"`
	Plan            uint32 `json:"plan,omitempty"`
	ConfirmedBy     string `json:"confirmed_by,omitempty"`
	ConfirmedUnixMs int64  `json:"confirmed_unix_ms,omitempty"`
}

// Caller is the count of one caller's flows or requests that ended in one way.
type Caller struct {
	Caller     string `json:"caller"`
	Unit       string `json:"unit"` // "flow" or "request"
	Code       uint32 `json:"code"` // result code of the end
	Outcome    string `json:"outcome"`
	Intent     uint64 `json:"intent,omitempty"` // intent in progress when it ended
	Count      uint64 `json:"count"`
	LastUnixMs int64  `json:"last_unix_ms"`
}

// Unknown states what the report cannot know.
type Unknown struct {
	Text  string `json:"text"`
	Host  string `json:"host,omitempty"`
	Count uint64 `json:"count,omitempty"` // 0 where the number itself is unknown
}

// Sum is the exact count of one outcome. Count = Listed + Unlisted.
type Sum struct {
	Unit     string `json:"unit"`
	Code     uint32 `json:"code"`
	Outcome  string `json:"outcome"`
	Count    uint64 `json:"count"`
	Listed   uint64 `json:"listed"`   // in caller records
	Unlisted uint64 `json:"unlisted"` // without a caller record
}

// During counts the ends of one outcome that were reported while an intent held the service or the host. Ends just
// before and after the plan can fall into the same report of a host.
type During struct {
	Intent  uint64 `json:"intent"`
	Unit    string `json:"unit"`
	Code    uint32 `json:"code"`
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
}

// Total is the exact count of one unit over all outcomes. Issued = Normal + Refused + Broken + Unknown, and Unknown
// contains Unreported.
type Total struct {
	Unit       string `json:"unit"`
	Issued     uint64 `json:"issued"`
	Normal     uint64 `json:"normal"`     // answered, or closed normally
	Refused    uint64 `json:"refused"`    // known not to have been run or accepted
	Broken     uint64 `json:"broken"`     // known to have ended in another way
	Unknown    uint64 `json:"unknown"`    // outcome unknown
	Unreported uint64 `json:"unreported"` // issued, and no end was ever reported
	Excess     uint64 `json:"excess"`     // ends reported without a start; not 0 only if the account is wrong
}

// add appends a record to the chain.
func (r *Report) add(rec Record) {
	rec.Sequence = len(r.Records)
	rec.Hash = hashRecord(r.head(), rec)
	r.Records = append(r.Records, rec)
}

// head returns the hash of the last record, or "" for none.
func (r *Report) head() string {
	if len(r.Records) == 0 {
		return ""
	}
	return r.Records[len(r.Records)-1].Hash
}

func hashRecord(previous string, rec Record) string {
	rec.Hash = ""
	body, err := json.Marshal(rec)
	if err != nil { // a Record holds only strings and numbers
		panic(err)
	}
	h := sha256.New()
	h.Write([]byte(previous))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Encode returns the report as JSON.
func (r *Report) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode report: %w", err)
	}
	return append(raw, '\n'), nil
}

// Parse reads a report without verifying it. Unknown keys, trailing data and files above MaxSize are
// result.ReportInvalid.
func Parse(raw []byte) (*Report, error) {
	if len(raw) > MaxSize {
		return nil, result.Errorf(result.ReportInvalid, "report is larger than %d bytes", MaxSize)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var r Report
	if err := dec.Decode(&r); err != nil {
		return nil, result.Errorf(result.ReportInvalid, "decode report: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, result.Errorf(result.ReportInvalid, "data after the report")
	}
	return &r, nil
}

// ServiceRecord returns the first record's service, or an empty one.
func (r *Report) ServiceRecord() Service {
	if len(r.Records) == 0 || r.Records[0].Service == nil {
		return Service{}
	}
	return *r.Records[0].Service
}
