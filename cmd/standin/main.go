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

// version is the release number shown by the version command.
const version = "0.1.0"

// headerTimeout limits the time to read the headers of a request.
const headerTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Runs simplified stand-ins for the external systems",
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

// serve serves HTTP on the address until ctx is done. It returns an error if the address is invalid or not available.
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
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
