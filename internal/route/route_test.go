package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func sample() Config {
	return Config{
		Version: 3,
		Keyed:   true,
		Services: []Service{
			{Name: "models"}, {Name: "portal"},
		},
		Routes: []Route{
			{Name: "all", Host: "api.example", Prefix: "/", Split: []Share{{Service: "portal", Weight: 1}}},
			{Name: "draft", Host: "api.example", Prefix: "/draft/", Split: []Share{{Service: "models", Weight: 9}, {Service: "portal", Weight: 1}}},
			{Name: "deep", Host: "api.example", Prefix: "/draft/deep/", Split: []Share{{Service: "models", Weight: 1}}},
		},
		Customers: []Customer{{Name: "north", Keys: []string{"k1", "k2"}, Prepaid: 10}},
	}
}

func TestTable(t *testing.T) {
	Convey("A compiled configuration", t, func() {
		table, err := Compile(sample())
		So(err, ShouldBeNil)

		Convey("matches the longest prefix of a host, ignoring its port and case", func() {
			for _, c := range []struct{ host, path, want string }{
				{"api.example", "/draft/deep/x", "deep"},
				{"API.example:8443", "/draft/x", "draft"},
				{"api.example", "/draft", "all"},
				{"api.example", "/other", "all"},
			} {
				r, ok := table.Match(c.host, c.path)
				So(ok, ShouldBeTrue)
				So(r.Name, ShouldEqual, c.want)
			}
			_, ok := table.Match("else.example", "/draft/")
			So(ok, ShouldBeFalse)
		})

		Convey("looks up a customer by each of its keys", func() {
			for _, key := range []string{"k1", "k2"} {
				c, ok := table.CustomerByKey(key)
				So(ok, ShouldBeTrue)
				So(c.Name, ShouldEqual, "north")
			}
			_, ok := table.CustomerByKey("")
			So(ok, ShouldBeFalse)
		})

		Convey("splits requests by weight", func() {
			r, _ := table.Match("api.example", "/draft/x")
			So(r.Choose(0), ShouldEqual, "models")
			So(r.Choose(0.89), ShouldEqual, "models")
			So(r.Choose(0.95), ShouldEqual, "portal")
		})
	})

	Convey("An invalid configuration is rejected with an error that names the field", t, func() {
		for want, change := range map[string]func(*Config){
			"routes[0]: prefix":           func(c *Config) { c.Routes[0].Prefix = "draft" },
			"routes[1]: service \"none\"": func(c *Config) { c.Routes[1].Split[0].Service = "none" },
			"routes[2]: service":          func(c *Config) { c.Routes[2].Split = nil },
			"customers[1]: name":          func(c *Config) { c.Customers = append(c.Customers, Customer{Name: "north"}) },
		} {
			cfg := sample()
			change(&cfg)
			_, err := Compile(cfg)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, want)
		}
	})

	Convey("Only safe requests and resumable streams may be repeated", t, func() {
		So((&Route{Kind: Safe}).Repeatable(), ShouldBeTrue)
		So((&Route{Kind: Unsafe, Resumable: true}).Repeatable(), ShouldBeFalse)
		So((&Route{Kind: Streaming}).Repeatable(), ShouldBeFalse)
		So((&Route{Kind: Streaming, Resumable: true}).Repeatable(), ShouldBeTrue)
	})
}
