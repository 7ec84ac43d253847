package standin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// call sends a request to a stand-in and returns status and body.
func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderIdentity, "id")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func TestEngine(t *testing.T) {
	convey.Convey("Given an engine that checks fences and loses every second cache event", t, func() {
		e := standin.NewTarget("e", standin.WithFences(), standin.WithEventGaps(2))
		convey.So(e.Start("127.0.0.1:0"), convey.ShouldBeNil)
		defer e.Crash()
		base := "http://" + e.Address()
		chat := `{"model":"m","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"%s"}]}`
		convey.Convey("a stream can be resumed from a token", func() {
			_, whole := call(t, http.MethodPost, base+wire.PathChat, fmt.Sprintf(chat, "x"))
			_, rest := call(t, http.MethodGet, base+standin.PathStreams+"id?from=3", "")
			tokens := standin.EngineTokens([]openai.Message{{Role: openai.RoleUser, Content: "x"}}, 10)
			convey.So(strings.Count(whole, "data:")-strings.Count(rest, "data:"), convey.ShouldEqual, 3)
			convey.So(rest, convey.ShouldContainSubstring, strings.TrimSpace(tokens[3]))
			convey.So(rest, convey.ShouldEndWith, "[DONE]\n\n")
			status, _ := call(t, http.MethodGet, base+standin.PathStreams+"other?from=0", "")
			convey.So(status, convey.ShouldEqual, http.StatusNotFound)
		})
		convey.Convey("cache events come with gaps, and a cache moves to another engine", func() {
			for _, prompt := range []string{"a", "b", "c"} {
				call(t, http.MethodPost, base+wire.PathChat, fmt.Sprintf(chat, prompt))
			}
			_, raw := call(t, http.MethodGet, base+standin.PathCacheEvents+"?after=0", "")
			var events []standin.CacheEvent
			convey.So(json.Unmarshal([]byte(raw), &events), convey.ShouldBeNil)
			convey.So(len(events), convey.ShouldEqual, 2)
			other := standin.NewTarget("o")
			convey.So(other.Start("127.0.0.1:0"), convey.ShouldBeNil)
			defer other.Crash()
			path := standin.PathKV + events[0].Prefix
			status, _ := call(t, http.MethodGet, "http://"+other.Address()+path, "")
			convey.So(status, convey.ShouldEqual, http.StatusNotFound)
			_, kv := call(t, http.MethodGet, base+path, "")
			status, _ = call(t, http.MethodPut, "http://"+other.Address()+path, kv)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			status, _ = call(t, http.MethodGet, "http://"+other.Address()+path, "")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
		})
		convey.Convey("an order with an older fence is refused, and what is held can be read back", func() {
			status, _ := call(t, http.MethodPost, base+standin.PathOrders, `{"fence":7,"model":"m","version":"2"}`)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			status, _ = call(t, http.MethodPost, base+standin.PathOrders, `{"fence":6,"model":"m","version":"1"}`)
			convey.So(status, convey.ShouldEqual, http.StatusConflict)
			_, raw := call(t, http.MethodGet, base+standin.PathOrders, "")
			convey.So(raw, convey.ShouldContainSubstring, `"version":"2"`)
		})
	})
}
