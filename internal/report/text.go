package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText prints the report for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	s := r.ServiceRecord()
	var b strings.Builder
	fmt.Fprintf(&b, "Closing report of service %s (id %d, %s at %s)\n", s.Name, s.ID, s.Kind, s.Frontend)
	fmt.Fprintf(&b, "created %s, closed %s, revision %d\n", timeText(s.CreatedUnixMs), timeText(s.ClosedUnixMs), s.Revision)
	t := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	section := func(title, header string) { fmt.Fprintf(t, "\n%s\n%s\n", title, header) }
	section("Changes", "time\trevision\tchange\tintent\toperator\tplan\tconfirmed by\tconfirmed at")
	r.eachChange(func(c Change) {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", timeText(c.AtUnixMs), c.Revision, clean(c.Text), number(c.Intent),
			clean(c.Operator), number(uint64(c.Plan)), clean(c.ConfirmedBy), timeText(c.ConfirmedUnixMs))
	})
	section("Callers", "caller\tunit\toutcome\tintent\tcount\tlast")
	r.eachCaller(func(c Caller) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", clean(c.Caller), clean(c.Unit), clean(c.Outcome), number(c.Intent), c.Count, timeText(c.LastUnixMs))
	})
	section("Sums", "unit\toutcome\tcount\twith caller\twithout caller")
	for _, rec := range r.Records {
		if rec.Sum != nil {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", clean(rec.Sum.Unit), clean(rec.Sum.Outcome), rec.Sum.Count, rec.Sum.Listed, rec.Sum.Unlisted)
		}
	}
	section("Ended while an intent was carried out", "intent\tunit\toutcome\tcount")
	for _, rec := range r.Records {
		if d := rec.During; d != nil {
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\n", d.Intent, clean(d.Unit), clean(d.Outcome), d.Count)
		}
	}
	section("Totals", "unit\tissued\tnormal\trefused\tbroken\tunknown\tof these unreported")
	for _, rec := range r.Records {
		if rec.Total != nil {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", clean(rec.Total.Unit), rec.Total.Issued, rec.Total.Normal,
				rec.Total.Refused, rec.Total.Broken, rec.Total.Unknown, rec.Total.Unreported)
		}
	}
	section("Unknown", "what\tcount")
	for _, rec := range r.Records {
		if rec.Unknown != nil {
			fmt.Fprintf(t, "%s\t%s\n", clean(rec.Unknown.Text), number(rec.Unknown.Count))
		}
	}
	section("Signatures", "role\tname\tpublic key")
	for _, sig := range r.Signatures {
		fmt.Fprintf(t, "%s\t%s\t%s\n", clean(sig.Role), clean(sig.Name), clean(sig.PublicKey))
	}
	t.Flush() // writes to a strings.Builder, which cannot fail
	fmt.Fprintf(&b, "\nlast hash %s\n", r.head())
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) eachChange(f func(Change)) {
	for _, rec := range r.Records {
		if rec.Change != nil {
			f(*rec.Change)
		}
	}
}

func (r *Report) eachCaller(f func(Caller)) {
	for _, rec := range r.Records {
		if rec.Caller != nil {
			f(*rec.Caller)
		}
	}
}

// clean removes control characters, which could forge lines of the printed report.
func clean(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return ' '
		}
		return c
	}, s)
}

func number(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func timeText(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format("2006-01-02T15:04:05.000Z")
}
