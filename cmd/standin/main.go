package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// version is the release of the program.
const version = "0.1.0"

// headerTime bounds the reading of a request's headers.
const headerTime = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Runs small stand-ins for the outside systems",
		Version:      version,
		SilenceUsage: true,
	}
	root.AddCommand(newPlatformCommand(), newServerCommand(), newServiceCommand(), newDemoCommand(), newVersionCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(command *cobra.Command, _ []string) { fmt.Fprintln(command.OutOrStdout(), version) },
	}
}

// serve answers on the address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("the address must be an IP address with a port: %w", err)
	}
	listener, err := net.Listen("tcp", parsed.String())
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
