package responder

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSharedPartsOfConversations compares the parts of conversations that share messages.
func TestSharedPartsOfConversations(t *testing.T) {
	c := qt.New(t)
	parse := func(text string) *chatBody {
		body := &chatBody{}
		c.Assert(json.Unmarshal([]byte(text), body), qt.IsNil)
		return body
	}
	const system, question = `{"role":"system","content":"rules"}`, `{"role":"user","content":"question"}`
	c.Check(parse(`{"messages":[`+question+`]}`).sharedParts(), qt.HasLen, 0)
	first := parse(`{"messages":[` + system + `,` + question + `]}`).sharedParts()
	c.Assert(first, qt.HasLen, 1)
	list := `{"role":"system","content":[{"type":"text","text":"ru"},{"type":"text","text":"les"}]}`
	c.Check(parse(`{"messages":[`+list+`,{"role":"user","content":"other"}]}`).sharedParts(), qt.DeepEquals, first)
	c.Check(parse(`{"messages":[{"role":"user","content":"rules"},`+question+`]}`).sharedParts(), qt.Not(qt.DeepEquals), first)
	c.Check(parse(`{"messages":[`+system+`,`+system+`,`+question+`,`+question+`]}`).sharedParts(), qt.HasLen, 2)
}
