package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// reservedPrefix is the path of the daemon's own interface for chats.
const reservedPrefix = "/v1/"

// methods are the methods that a call pattern may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *checker) checkServices() {
	models := make(map[string]string)
	paths := make(map[string]string)
	for i, service := range c.document.Services {
		c.name(c.services, service.Name, "services", i)
		optional(c, service.LoadBound, MinLoadBound, MaxLoadBound, "services", i, "load_bound")
		optional(c, service.QueueLength, 0, MaxQueueLength, "services", i, "queue_length")
		switch service.Kind {
		case KindModel:
			c.checkModelService(models, service, i)
		case KindPlain:
			c.checkPlainService(paths, service, i)
		case "":
			c.source.Missing("model or plain", "services", i, "kind")
		default:
			c.source.Report(string(service.Kind), "model or plain", "services", i, "kind")
		}
	}
}

func (c *checker) checkModelService(taken map[string]string, service Service, i int) {
	if service.Path != "" {
		c.source.Report(service.Path, "no path, as the service's kind is model", "services", i, "path")
	}
	if len(service.Repeatable) > 0 {
		c.source.Report(len(service.Repeatable), "no patterns, as the service's kind is model", "services", i, "repeatable")
	}
	if len(service.Models) == 0 {
		c.checkModel(taken, service.Name, service.Name, "services", i, "name")
	}
	for j, model := range service.Models {
		c.checkModel(taken, model, service.Name, "services", i, "models", j)
	}
}

func (c *checker) checkModel(taken map[string]string, model, service string, path ...any) {
	if model == "" {
		c.source.Missing("a model's name", path...)
		return
	}
	if other, offered := taken[model]; offered {
		c.source.Report(model, fmt.Sprintf("a model that service %q does not offer", other), path...)
	}
	taken[model] = service
}

func (c *checker) checkPlainService(taken map[string]string, service Service, i int) {
	if len(service.Models) > 0 {
		c.source.Report(len(service.Models), "no models, as the service's kind is plain", "services", i, "models")
	}
	c.checkPath(taken, service, i)
	for j, pattern := range service.Repeatable {
		if !slices.Contains(methods, pattern.Method) {
			c.source.Report(pattern.Method, strings.Join(methods, ", "), "services", i, "repeatable", j, "method")
		}
		inside := strings.HasPrefix(pattern.Path, service.Path)
		if !inside || strings.Contains(strings.TrimSuffix(pattern.Path, "*"), "*") {
			allowed := fmt.Sprintf("a path under %q, with no * but at its end", service.Path)
			c.source.Report(pattern.Path, allowed, "services", i, "repeatable", j, "path")
		}
	}
}

// checkPath checks the prefix of a plain service's calls. One prefix may lie
// under another, as the longest counts, but two services cannot have the same.
func (c *checker) checkPath(taken map[string]string, service Service, i int) {
	const allowed = `a prefix such as "/ledger/", outside ` + reservedPrefix
	path := service.Path
	wellFormed := strings.HasPrefix(path, "/") && strings.HasSuffix(path, "/") &&
		!strings.Contains(path, "//") && !strings.ContainsAny(path, "*?#% ")
	other, used := taken[path]
	switch {
	case path == "":
		c.source.Missing(allowed, "services", i, "path")
	case !wellFormed || strings.HasPrefix(path, reservedPrefix):
		c.source.Report(path, allowed, "services", i, "path")
	case used:
		c.source.Report(path, fmt.Sprintf("a prefix that service %q does not have", other), "services", i, "path")
	}
	taken[path] = service.Name
}

func (c *checker) checkKeys(taken map[string]string, workspace Workspace, i int) {
	for j, key := range workspace.KeysSHA256 {
		digest, err := hex.DecodeString(key)
		if err != nil || len(digest) != sha256.Size {
			c.source.Report(key, "the SHA-256 of a bearer key, as 64 hex digits", "workspaces", i, "keys_sha256", j)
			continue
		}
		lower := strings.ToLower(key)
		if other, used := taken[lower]; used {
			c.source.Report(key, fmt.Sprintf("a key that workspace %q does not have", other), "workspaces", i, "keys_sha256", j)
		}
		taken[lower] = workspace.Name
	}
}
