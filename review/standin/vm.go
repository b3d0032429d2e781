package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// readyTime is the time within which the entry VMs must be ready.
const readyTime = 15 * time.Second

// vm is an entry VM that runs as a separate process.
type vm struct {
	name, ip               string
	front, probes, control string
	door                   *door
	command                *exec.Cmd
	done                   chan struct{}
}

// bounds are those of the settings of the small deployments.
var bounds = map[string]any{
	"revoke_ms": 5000, "config_apply_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 106,
}

// fleet is a site of entry VMs, servers and a store.
type fleet struct {
	scene   *scene
	folder  string
	store   *store
	vms     []*vm
	servers []*server
	// network is the prefix of the loopback addresses of the entry VMs.
	network string
}

// newFleet returns a site without entry VMs and servers, in a temporary folder.
func newFleet(s *scene) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{scene: s, folder: folder, store: newStore(), network: fmt.Sprintf("127.%d.77.", 100+rand.IntN(150))}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fleet = f
	return f, nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.kill()
		_ = v.door.server.Close()
	}
	for _, s := range f.servers {
		s.close()
	}
	_ = os.RemoveAll(f.folder)
}

// freePort returns a port that is free at the address, below those of outgoing connections.
func freePort(ip string) (int, error) {
	for range 200 {
		port := 10000 + rand.IntN(20000)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			return port, listener.Close()
		}
	}
	return 0, errors.New("no free port")
}

// add adds an entry VM that is not started yet.
func (f *fleet) add() error {
	number := len(f.vms) + 1
	name, ip := fmt.Sprintf("edge-vn-south-a-%d", number), fmt.Sprintf("%s%d", f.network, 10+number)
	d, err := f.store.open()
	if err != nil {
		return err
	}
	v := &vm{name: name, ip: ip, door: d}
	for _, address := range []*string{&v.front, &v.probes, &v.control} {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		*address = fmt.Sprintf("%s:%d", ip, port)
	}
	f.vms = append(f.vms, v)
	return nil
}

// section is a part of the template that is rendered only if the value that it names is present.
var section = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// placeholder is a placeholder of the template for settings.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// render fills in the template for settings.
func (v *vm) render(template string, seeds []string) string {
	values := map[string]any{
		"node": v.name, "zone": "vn-south-a", "ip": v.ip, "listen.front": v.front, "listen.ready": v.probes, "listen.control": v.control,
		"seeds": seeds, "platform.address": v.door.address, "limits.memory_mb": 284, "limits.cpu_share": 0.4, "limits.cores": 1,
	}
	for name, value := range bounds {
		values["bounds."+name] = value
	}
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if values[parts[1]] == nil {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		if parts[2] == "" {
			return fmt.Sprint(values[parts[1]])
		}
		data, _ := json.Marshal(values[parts[1]])
		return string(data)
	})
}

// runCommand returns the program and the arguments of the deploy file, with the settings file replaced.
func runCommand(settings string) ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if found == nil {
		return nil, errors.New("the deploy file names no program")
	}
	words := strings.Fields(string(found[1]))
	words[len(words)-1] = settings
	return words, nil
}

// startVMs starts the entry VMs with the given seeds and waits until all of them are ready.
func (f *fleet) startVMs(seeds func(v *vm) []string) error {
	for _, v := range f.vms {
		if err := f.start(v, seeds(v)); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	f.scene.note("%d entry VMs are ready", len(f.vms))
	return nil
}

// start starts the process of an entry VM.
func (f *fleet) start(v *vm, seeds []string) error {
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return err
	}
	settings := filepath.Join(f.folder, v.name+".json")
	if err := os.WriteFile(settings, []byte(v.render(string(template), seeds)), 0o600); err != nil {
		return err
	}
	words, err := runCommand(settings)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(done)
	}()
	v.command, v.done = command, done
	return nil
}

// awaitReady waits until the entry VM is ready.
func (v *vm) awaitReady() error {
	for deadline := time.Now().Add(readyTime); !v.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	return nil
}

// seedsOf returns the peer addresses of the other entry VMs, three at most.
func (f *fleet) seedsOf(v *vm) []string {
	seeds := []string{}
	for _, other := range f.vms {
		if other != v && len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
	}
	return seeds
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.probes + "/v1/" + "readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process with SIGKILL.
func (v *vm) kill() {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.done
}
