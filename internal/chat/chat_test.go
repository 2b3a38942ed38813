package chat

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

func TestParseRequestRefuses(t *testing.T) {
	cases := []struct{ name, body, field string }{
		{"malformed", `{"model":`, ""},
		{"no model", `{"messages":[{"role":"user","content":"x"}]}`, "model"},
		{"no messages", `{"model":"m"}`, "messages"},
		{"negative tokens", `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`, "max_tokens"},
		{"overflowing tokens", `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":99999999999999999999}`, "max_tokens"},
		{"too many tokens", `{"model":"m","messages":[{"role":"user","content":"x"}],"max_completion_tokens":131073}`, "max_completion_tokens"},
		{"two choices", `{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`, "n"},
		{"wrong type", `{"model":5,"messages":[]}`, "model"},
	}
	for _, c := range cases {
		Convey("A body with "+c.name+" is rejected as not run, and the error names the field", t, func() {
			_, err := ParseRequest([]byte(c.body))
			So(err, ShouldNotBeNil)
			e := verdict.From(err)
			So(e.Verdict(), ShouldEqual, verdict.NotRun)
			So(e.Code(), ShouldEqual, verdict.CodeBadRequest)
			So(e.Field(), ShouldEqual, c.field)
		})
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"stream":true}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := ParseRequest(body)
		if err != nil {
			return
		}
		if n := req.TotalLimit(); n < 1 {
			t.Fatalf("%q can cost %d tokens", body, n)
		}
	})
}
