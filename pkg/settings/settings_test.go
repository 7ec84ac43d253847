package settings_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

const good = `{
  // A node of data centre d.
  "dataCentre": "d",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
  "trust": {"deployment": "x", "required": 1, "approvers": [
    {"name": "mere", "publicKey": "1111111111111111111111111111111111111111111111111111111111111111"},
  ]},
  "keys": {"peer": "pppppppppppppppppppppppppppppppp", "ticket": "2222222222222222222222222222222222222222222222222222222222222222"},
  "configurationService": "http://127.0.0.1:8500",
}`

func TestSettings(t *testing.T) {
	cases := []struct{ name, old, with, want string }{
		{"good", "", "", ""},
		{"unknown key", `"dataCentre"`, `"datacentre": "d", "dataCentre"`, "s:3: /datacentre: unknown key"},
		{"host name", "127.0.0.1:1", "localhost:1", "s:4: /listen/callers"},
		{"port", "127.0.0.1:1", "127.0.0.1:99999", "s:4: /listen/callers: \"127.0.0.1:99999\" is not"},
		{"too many required", `"required": 1`, `"required": 2`, "s:5: /trust/required: 2 signatures are required of 1"},
		{"no source", "\n  \"configurationService\": \"http://127.0.0.1:8500\",", "", "configurationService or peers"},
		{"half a certificate", `"listen"`, `"tls": {"key": "k"}, "listen"`, "/tls: certificate and key go together"},
		{"level", `"listen"`, `"log": {"level": "loud"}, "listen"`, "/log/level: value must be one of"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("It is taken, or refused by file, line and key", t, func() {
				s, err := settings.Parse("s", []byte(strings.Replace(good, c.old, c.with, 1)))
				if c.want == "" {
					convey.So(err, convey.ShouldBeNil)
					convey.So(s.StopLimit(), convey.ShouldEqual, time.Hour)
					convey.So(len(s.BundleTrust().Approvers["mere"]), convey.ShouldEqual, 32)
					return
				}
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Error(), convey.ShouldContainSubstring, c.want)
			})
		})
	}
}

func TestDefaultsAreTheSchemas(t *testing.T) {
	convey.Convey("A planned stop without settings waits as long as the schema says", t, func() {
		text, err := os.ReadFile("settings.schema.json")
		convey.So(err, convey.ShouldBeNil)
		var schema struct {
			Defs struct {
				Stop struct {
					Properties map[string]struct{ Default int64 }
				}
			} `json:"$defs"`
		}
		convey.So(json.Unmarshal(text, &schema), convey.ShouldBeNil)
		stop := schema.Defs.Stop.Properties
		var s settings.Settings
		convey.So(s.Announce().Milliseconds(), convey.ShouldEqual, stop["announceMs"].Default)
		convey.So(s.StopLimit().Milliseconds(), convey.ShouldEqual, stop["limitMs"].Default)
	})
}
