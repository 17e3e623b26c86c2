// Command emulator runs a stand-in for the users' platform with entry instances as processes of their own, and prints
// curl lines to try.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"lovagebank/emulator"
)

// entries is the number of entry instances.
const entries = 3

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

func run() error {
	folder, err := os.MkdirTemp("", "lovagebank-emulator-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program := filepath.Join(folder, "lovagebank")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	fl, err := emulator.NewFleet(emulator.Options{Program: program, Folder: folder})
	if err != nil {
		return err
	}
	defer fl.Close()
	for number := range entries {
		en, err := fl.StartInstance(number)
		if err != nil {
			return err
		}
		fmt.Printf("curl -N -H 'Host: %s' -H 'X-Api-Key: %s' -H 'Request-Id: r%d' -H 'Model-Name: %s/a1' -d hello http://%s/ask/1\n",
			emulator.Host, emulator.Key, number, emulator.Model, en.Address())
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}
