package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["keys"] = openWithoutKeys }

// configApply is by when a configuration has to be in force after its acknowledgement.
const configApply = 2000 * time.Millisecond

// configWithKeys returns the configuration in a version, in which the one tenant has some keys.
func configWithKeys(version int, keys []string) []byte {
	var c map[string]any
	if err := json.Unmarshal(configFile, &c); err != nil {
		fail("configuration: %v", err)
	}
	c["version"] = version
	c["tenants"].([]any)[0].(map[string]any)[names["keys"]] = keys
	document, err := json.Marshal(c)
	if err != nil {
		fail("configuration: %v", err)
	}
	return document
}

// openWithoutKeys takes the keys of a deployment's one tenant away, one after the other.
func openWithoutKeys(w *world) {
	const other, stranger = "jnbanfqasnmgkcuyj8pj", "k3ykeptbynobodyatall"
	w.deploy(3, func() {
		for i := range 4 {
			w.startReplica("desk", "", i, plainWork)
		}
		w.store.put(names["config"], configWithKeys(8, []string{key, other}))
	})
	var mu sync.Mutex
	// dropped is when the store has acknowledged that a key is gone.
	dropped := map[string]time.Time{}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		time.Sleep(5 * time.Second)
		left := []string{key, other}
		for version := 9; len(left) > 0; version++ {
			gone := left[0]
			left = left[1:]
			if w.trouble {
				at := w.store.put(names["config"], configWithKeys(version, left))
				w.note("store: version %d, in which key %s is gone and %d are left", version, gone, len(left))
				mu.Lock()
				dropped[gone] = at
				mu.Unlock()
			}
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
	}()
	keys := []string{key, other, stranger}
	w.traffic(20, stop, func(i int) ask {
		a := deskAsk(i)
		a.sent = time.Now()
		a.header = map[string]string{"Authorization": "Bearer " + keys[i/5%3]}
		return a
	}, func(a ask, id string, status int) {
		w.mu.Lock()
		runs := len(w.runs[id])
		w.mu.Unlock()
		used := a.header["Authorization"][len("Bearer "):]
		mu.Lock()
		gone, is := dropped[used]
		mu.Unlock()
		switch {
		case runs == 0:
		case used == stranger:
			w.breaks("request %s ran, and was answered %d, under a key that no configuration ever held", id, status)
		case is && a.sent.Sub(gone) > configApply:
			w.breaks("request %s ran, and was answered %d, under a key that was taken away %d ms before it was sent", id, status, a.sent.Sub(gone).Milliseconds())
		}
	})
	if w.count(func(status int) bool { return status == http.StatusUnauthorized }) == 0 {
		fail("no request was refused for its key")
	}
}
