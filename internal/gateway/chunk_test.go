package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint"
)

// TestChunkEncoder checks that the encoder's output equals that of encoding/json for a chat.Chunk.
func TestChunkEncoder(t *testing.T) {
	req := &chat.Request{Model: "a \"model\"", StreamOptions: &struct {
		IncludeUsage bool `json:"include_usage"`
	}{IncludeUsage: true}}
	j := &job{id: "k-1", accepted: time.Unix(1000, 0)}
	Convey("For arbitrary pieces, the events equal the output of encoding/json", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			enc := newChunkEncoder(j, req)
			var offset int64
			for range rapid.IntRange(1, 4).Draw(t, "n") {
				p := endpoint.Piece{Text: rapid.String().Draw(t, "text"), Tokens: rapid.Int64Range(0, 3).Draw(t, "tokens")}
				if rapid.Bool().Draw(t, "last") {
					p.Finish, p.Usage = "stop", &chat.Usage{TotalTokens: 7}
				}
				c := chat.Chunk{
					ID: j.id, Object: chat.ObjectChunk, Created: 1000, Model: req.Model, Usage: p.Usage, Offset: offset, Tokens: p.Tokens,
					Choices: []chat.Choice{{Delta: &chat.Delta{Content: p.Text}}},
				}
				if p.Finish != "" {
					c.Choices[0].FinishReason = &p.Finish
				}
				want, err := json.Marshal(c)
				if err != nil {
					t.Fatal(err)
				}
				got := string(enc.encode([]endpoint.Piece{p}))
				if strings.TrimSpace(strings.TrimPrefix(got, "data: ")) != string(want) {
					t.Fatalf("got %s, want %s", got, want)
				}
				offset += p.Tokens
			}
		})
		So(t.Failed(), ShouldBeFalse)
	})
}
