package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// listInterval is how often the platform's list is read.
	listInterval = 5 * time.Second
	// listTimeout bounds one read of it.
	listTimeout = 2 * time.Second
)

// instance is one line of the platform's list.
type instance struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// instanceList reads the platform's lagging list of instances.
type instanceList struct {
	// address is the URL of the platform's server; empty for none.
	address string
	client  *http.Client
	members *members
	log     zerolog.Logger
}

// follow reads the list again and again until ctx ends.
func (l *instanceList) follow(ctx context.Context) {
	if l.address == "" {
		return
	}
	for ctx.Err() == nil {
		addresses, err := l.read(ctx)
		if err != nil {
			l.log.Warn().Err(err).Msg("members: the list of instances was not read")
		} else {
			l.members.send(listed{addresses})
		}
		_ = wait.For(ctx, listInterval) // the loop looks at ctx
	}
}

// read returns the addresses of the instances that are not leaving.
func (l *instanceList) read(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, l.address+wire.PathInstances, nil)
	if err != nil {
		return nil, err
	}
	var list []instance
	if _, err := readAnswer(ctx, l.client, req, wire.MaxAnswerBytes, &list); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(list))
	for _, i := range list {
		if !i.Leaving {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses, nil
}
