package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// reservedPrefix is the path prefix of the daemon's chat API.
const reservedPrefix = "/v1/"

// httpMethods are the methods that a call pattern may have.
var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *checker) checkServices() {
	serviceByModel := make(map[string]string)
	serviceByPath := make(map[string]string)
	for i, service := range c.document.Services {
		c.checkName(c.serviceNames, service.Name, "services", i)
		checkOptionalRange(c, service.LoadBound, MinLoadBound, MaxLoadBound, "services", i, "load_bound")
		checkOptionalRange(c, service.QueueLength, 0, MaxQueueLength, "services", i, "queue_length")
		switch service.Kind {
		case KindModel:
			c.checkModelService(serviceByModel, service, i)
		case KindPlain:
			c.checkPlainService(serviceByPath, service, i)
		case "":
			c.source.ReportMissing("model or plain", "services", i, "kind")
		default:
			c.source.ReportInvalid(string(service.Kind), "model or plain", "services", i, "kind")
		}
	}
}

func (c *checker) checkModelService(serviceByModel map[string]string, service Service, i int) {
	if service.Path != "" {
		c.source.ReportInvalid(service.Path, "no path, as the service's kind is model", "services", i, "path")
	}
	if len(service.Repeatable) > 0 {
		c.source.ReportInvalid(len(service.Repeatable), "no patterns, as the service's kind is model", "services", i, "repeatable")
	}
	if len(service.Models) == 0 {
		c.checkModel(serviceByModel, service.Name, service.Name, "services", i, "name")
	}
	for j, model := range service.Models {
		c.checkModel(serviceByModel, model, service.Name, "services", i, "models", j)
	}
}

func (c *checker) checkModel(serviceByModel map[string]string, model, service string, path ...any) {
	if model == "" {
		c.source.ReportMissing("a model's name", path...)
		return
	}
	if other, used := serviceByModel[model]; used {
		c.source.ReportInvalid(model, fmt.Sprintf("a model that service %q does not offer", other), path...)
	}
	serviceByModel[model] = service
}

func (c *checker) checkPlainService(serviceByPath map[string]string, service Service, i int) {
	if len(service.Models) > 0 {
		c.source.ReportInvalid(len(service.Models), "no models, as the service's kind is plain", "services", i, "models")
	}
	c.checkPath(serviceByPath, service, i)
	for j, pattern := range service.Repeatable {
		if !slices.Contains(httpMethods, pattern.Method) {
			c.source.ReportInvalid(pattern.Method, strings.Join(httpMethods, ", "), "services", i, "repeatable", j, "method")
		}
		underPrefix := strings.HasPrefix(pattern.Path, service.Path)
		if !underPrefix || strings.Contains(strings.TrimSuffix(pattern.Path, "*"), "*") {
			allowed := fmt.Sprintf("a path under %q, with no * but at its end", service.Path)
			c.source.ReportInvalid(pattern.Path, allowed, "services", i, "repeatable", j, "path")
		}
	}
}

// checkPath checks the path prefix of a plain service. A prefix may extend that
// of another service, as the longest match is used, but two services cannot have
// the same prefix.
func (c *checker) checkPath(serviceByPath map[string]string, service Service, i int) {
	const allowed = `a prefix such as "/ledger/", outside ` + reservedPrefix
	path := service.Path
	wellFormed := strings.HasPrefix(path, "/") && strings.HasSuffix(path, "/") &&
		!strings.Contains(path, "//") && !strings.ContainsAny(path, "*?#% ")
	other, used := serviceByPath[path]
	switch {
	case path == "":
		c.source.ReportMissing(allowed, "services", i, "path")
	case !wellFormed || strings.HasPrefix(path, reservedPrefix):
		c.source.ReportInvalid(path, allowed, "services", i, "path")
	case used:
		c.source.ReportInvalid(path, fmt.Sprintf("a prefix that service %q does not have", other), "services", i, "path")
	}
	serviceByPath[path] = service.Name
}

func (c *checker) checkKeys(workspaceByKey map[string]string, workspace Workspace, i int) {
	for j, key := range workspace.KeysSHA256 {
		digest, err := hex.DecodeString(key)
		if err != nil || len(digest) != sha256.Size {
			c.source.ReportInvalid(key, "the SHA-256 of a bearer key, as 64 hex digits", "workspaces", i, "keys_sha256", j)
			continue
		}
		normalized := strings.ToLower(key)
		if other, used := workspaceByKey[normalized]; used {
			c.source.ReportInvalid(key, fmt.Sprintf("a key that workspace %q does not have", other), "workspaces", i, "keys_sha256", j)
		}
		workspaceByKey[normalized] = workspace.Name
	}
}
