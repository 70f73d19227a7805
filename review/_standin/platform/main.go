// Program platform runs the cases of the review: it is the platform's store, the replicas and the
// clients, and starts the instances of the project as processes of their own.
//
// Usage: review-standin CASE RECORD. It exits with 1 if the rule was broken, with 0 if it held, and with 2
// if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// maxRun bounds the duration of a case.
const maxRun = 100 * time.Second

// scene is what a case runs in.
type scene struct {
	ctx       context.Context
	record    *recorder
	store     *store
	folder    string
	instances []*instance
	// hasTrouble is set unless TROUBLE=0.
	hasTrouble bool
}

// startInstance starts an instance.
func (s *scene) startInstance(id, zone string) (*instance, error) {
	i, err := newInstance(s.folder, id, zone, s.store)
	if err != nil {
		return nil, err
	}
	if err := i.start(); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, i)
	return i, nil
}

// waitReady waits until all instances are ready.
func (s *scene) waitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	for _, i := range s.instances {
		if err := i.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*scene) (isBroken bool, err error){
	"mixed-inputs":    runMixedInputs,
	"cut-streams":     runCutStreams,
	"lost-origins":    runLostOrigins,
	"last-tenant":     runLastTenant,
	"decoded-path":    runDecodedPath,
	"joined-versions": runJoinedVersions,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	s := &scene{ctx: ctx, record: &recorder{out: out, startedAt: time.Now()}, folder: folder, hasTrouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, i := range s.instances {
			i.stop()
		}
	}()
	if s.store, err = newStore(); err == nil {
		s.record.add("case %s, trouble %v", os.Args[1], s.hasTrouble)
		var isBroken bool
		isBroken, err = cases[os.Args[1]](s)
		if err == nil && isBroken {
			s.record.add("result: the rule was broken")
			return 1
		}
	}
	if err != nil {
		s.record.add("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.record.add("result: the rule held")
	return 0
}
