package retryafter

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOf(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	in := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		name   string
		values []string
		date   string
		want   time.Duration // 0: no delay is requested
	}{
		{"whole seconds", []string{"3"}, "", 3 * time.Second},
		{"a fraction", []string{"1.25"}, "", 1250 * time.Millisecond},
		{"surrounding blanks", []string{"  2 "}, "", 2 * time.Second},
		{"a date", []string{in(7 * time.Second)}, "", 7 * time.Second},
		{"a date, by the server's own clock", []string{in(7 * time.Second)}, in(5 * time.Second), 2 * time.Second},
		{"a date in the past", []string{in(-time.Second)}, "", 0},
		{"a date in the obsolete RFC 850 format", []string{"Sunday, 01-Mar-26 12:00:04 GMT"}, "", 4 * time.Second},
		{"a small fraction, which some client libraries round", []string{"0.0004"}, "", 400 * time.Microsecond},
		{"over a day", []string{"1e9"}, "", Max},
		{"more than time.Duration can hold", []string{"1e300"}, "", Max},
		{"a date over a day ahead", []string{in(48 * time.Hour)}, "", Max},
		{"several values: the longest", []string{"1", "4", "2"}, "", 4 * time.Second},
		{"several values, one of which is invalid", []string{"soon", "4"}, "", 4 * time.Second},
		{"none", nil, "", 0},
		{"nothing", []string{""}, "", 0},
		{"zero", []string{"0"}, "", 0},
		{"a negative number", []string{"-3"}, "", 0},
		{"not a number", []string{"NaN"}, "", 0},
		{"infinite", []string{"Inf"}, "", 0},
		{"negative infinity", []string{"-Inf"}, "", 0},
		{"a number with a unit", []string{"3s"}, "", 0},
		{"a word", []string{"soon"}, "", 0},
	} {
		Convey(c.name, t, func() {
			h := http.Header{"Retry-After": c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			d, ok := Of(h, now)
			So(d, ShouldEqual, c.want)
			So(ok, ShouldEqual, c.want > 0)
		})
	}
}

// FuzzOf checks that ok is true exactly if the delay is over 0, and that no delay is negative or longer than Max.
func FuzzOf(f *testing.F) {
	for _, v := range []string{"3", "1.5", "-1", "NaN", "1e999", "0x1p-2", "Sun, 01 Mar 2026 12:00:04 GMT", "3, 4", "\x00"} {
		f.Add(v, "")
	}
	f.Fuzz(func(t *testing.T, v, date string) {
		d, ok := Of(http.Header{"Retry-After": {v}, "Date": {date}}, time.Unix(1e9, 0))
		if ok != (d > 0) || d < 0 || d > Max {
			t.Fatalf("%q at %q: %v, %v", v, date, d, ok)
		}
	})
}
