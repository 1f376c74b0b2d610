package shell

import (
	"context"
	"time"

	"endiveroute.example/endive/keep"
)

// objectTimeout bounds one call of the object store.
const objectTimeout = 10 * time.Second

// storeObject writes the body of an outcome to the object store.
type storeObject struct {
	shell *Shell
	store keep.StoreObject
}

func (o *storeObject) run() {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	err := o.shell.objects.Put(ctx, o.store.Name, o.store.Body)
	o.shell.keep.send(keep.ObjectStored{Name: o.store.Name, Failed: err != nil})
}

// fetchObject reads the body of an outcome from the object store.
type fetchObject struct {
	shell *Shell
	fetch keep.FetchObject
}

func (o *fetchObject) run() {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	body, err := o.shell.objects.Get(ctx, o.fetch.Name)
	o.shell.keep.send(keep.ObjectFetched{Name: o.fetch.Name, Failed: err != nil, Body: body})
}
