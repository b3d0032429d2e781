package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// tenant is a client account of the configuration.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// route is an object of the configuration.
type route = map[string]any

// configuration returns a configuration with one route for reads and one for orders, and with idle routes.
func configuration(version, idleRoutes int, tenants []tenant, split bool) []byte {
	routes := []route{
		{"name": "r-read", "hostname": host, "path_prefix": "/stock/", "kind": "idempotent", "service": firstService, "timeout_ms": 600, "goal_ms": 100, "priority": 2, "max_attempts": 2, "public": false},
		{"name": "r-order", "hostname": host, "path_prefix": "/order/", "kind": "non_idempotent", "service": firstService, "timeout_ms": 600, "goal_ms": 100, "priority": 2, "max_attempts": 1, "public": false},
	}
	if split {
		routes = append(routes, route{"name": "r-split", "hostname": host, "path_prefix": splitPrefix, "kind": "idempotent", "service": secondService, "timeout_ms": 600, "goal_ms": 100, "priority": 2, "max_attempts": 2, "public": false})
	}
	for i := range idleRoutes {
		routes = append(routes, route{"name": fmt.Sprintf("r-idle%05d", i), "hostname": host, "path_prefix": fmt.Sprintf("/idle%05d/", i), "kind": "idempotent", "service": firstService, "timeout_ms": 600, "goal_ms": 100, "priority": 2, "max_attempts": 2, "public": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []route{
			{"name": firstService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			{"name": secondService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  route{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// configure writes a configuration and returns the time of its acknowledgement.
func (f *fleet) configure(version, idleRoutes int, tenants []tenant) (acknowledged time.Time, size int) {
	data := configuration(version, idleRoutes, tenants, false)
	return f.store.put("keyed."+"op", "config", data), len(data)
}

// configureSplit writes a configuration in which a route is split.
func (f *fleet) configureSplit(version, idleRoutes int, tenants []tenant) {
	f.store.put("keyed."+"op", "config", configuration(version, idleRoutes, tenants, true))
}
