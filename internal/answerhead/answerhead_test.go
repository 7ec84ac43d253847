package answerhead_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/answerhead"
)

// TestHeadsThatAreNone guards against an answer whose head net/http takes although no sender may send it.
func TestHeadsThatAreNone(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for head, valid := range map[string]bool{
		ok:                                     true,
		"HTTP/1.0 200 OK\r\n":                  true,
		"HTTP/1.1 599 Own\r\n":                 true,
		"HTTP/1.1 404 \r\n":                    true,
		ok + "X-Odd: a b\r\n":                  true,
		ok + "x-odd!#$%&'*+-.^_`|~: a\tb\r\n":  true,
		ok + "X-Odd:\r\n":                      true,
		ok + "X-Odd: caf\xe9\r\n":              true,
		"HTTP/1.1 000 None\r\n":                false,
		"HTTP/1.1 099 None\r\n":                false,
		"HTTP/1.1 600 None\r\n":                false,
		"HTTP/1.1 999 None\r\n":                false,
		"HTTP/2.0 200 OK\r\n":                  false,
		"HTTP/9.9 200 OK\r\n":                  false,
		"HTTP/1.2 200 OK\r\n":                  false,
		"HTTP/0.9 200 OK\r\n":                  false,
		"HTTP/1.1 200 O\x01K\r\n":              false,
		ok + "X Odd: zz\r\n":                   false,
		ok + "X-Odd : zz\r\n":                  false,
		ok + "Content Length: 3\r\n":           false,
		ok + "Content-Length : 3\r\n":          false,
		ok + "Transfer-Encoding : chunked\r\n": false,
		ok + "X\x01Odd: zz\r\n":                false,
		ok + "X\x7fOdd: zz\r\n":                false,
		ok + "X\x00Odd: zz\r\n":                false,
		ok + "X\tOdd: zz\r\n":                  false,
		ok + "X\xe9Odd: zz\r\n":                false,
		ok + "X[Odd]: zz\r\n":                  false,
		ok + "X-Odd: z\x01z\r\n":               false,
		ok + "X-Odd: z\x00z\r\n":               false,
		ok + "X-Odd: z\rz\r\n":                 false,
		ok + ": zz\r\n":                        false,
		ok + "X-Odd\r\n":                       false,
	} {
		convey.Convey(strings.ReplaceAll(head, "\r\n", "|"), t, func() {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\nbody")), nil)
			if err == nil {
				err = answerhead.Check(resp)
			}
			convey.So(err == nil, convey.ShouldEqual, valid)
		})
	}
}

// TestTransportChecksHeads guards against a client that takes an answer without a check.
func TestTransportChecksHeads(t *testing.T) {
	convey.Convey("Given a server that answers with a head that is none", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbody")
		}()
		convey.Convey("a request gets no answer", func() {
			client := &http.Client{Transport: answerhead.Transport(&http.Transport{})}
			defer client.CloseIdleConnections()
			_, err := client.Get("http://" + ln.Addr().String())
			var invalid *answerhead.InvalidError
			convey.So(errors.As(err, &invalid), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldContainSubstring, `name "Content-Length "`)
		})
	})
}
