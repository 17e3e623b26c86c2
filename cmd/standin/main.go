// Command standin runs one stand-in of lovagebank's surroundings as a process: the platform's store, its list, a model
// engine or an application worker. It prints the address that it listens on.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"lovagebank/faker"
)

// readHeaderTimeout bounds how long a connection may take to send a call's header.
const readHeaderTimeout = 10 * time.Second

type commands struct {
	Store  storeCommand  `command:"store" description:"Run the key-value store"`
	List   listCommand   `command:"list" description:"Run the platform's list of instances and targets"`
	Engine engineCommand `command:"engine" description:"Run a model engine"`
	Worker workerCommand `command:"worker" description:"Run an application worker"`
}

// listener is the options of every stand-in.
type listener struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Control string `long:"control" description:"Address of the control interface; none when empty"`
}

// serve listens and answers until SIGINT or SIGTERM. The first line printed is the address, the second the control
// interface's, if there is one.
func (li listener) serve(id string, handler http.Handler, controlled faker.FaultControl) error {
	main, err := listen(li.Listen, handler)
	if err != nil {
		return err
	}
	defer func() { _ = main.Close() }()
	if li.Control != "" {
		co := faker.NewControl()
		co.Add(id, controlled)
		control, err := listen(li.Control, co)
		if err != nil {
			return err
		}
		defer func() { _ = control.Close() }()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}

// listen starts a server and prints its address.
func listen(address string, handler http.Handler) (*http.Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Println(socket.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(socket) }()
	return server, nil
}

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
