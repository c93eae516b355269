package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// index holds the look-ups that the document's users need.
type index struct {
	services   map[string]*Service
	engines    map[string]*Engine
	byService  map[string][]*Engine
	places     map[string]*Place
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
	models     map[string]*Service
	classes    map[string]*Class
}

// build fills in the defaults and the look-ups.
func (d *Document) build() {
	d.index = index{
		services:   make(map[string]*Service),
		engines:    make(map[string]*Engine),
		byService:  make(map[string][]*Engine),
		places:     make(map[string]*Place),
		workspaces: make(map[string]*Workspace),
		keys:       make(map[string]*Workspace),
		models:     make(map[string]*Service),
		classes:    make(map[string]*Class),
	}
	for i := range d.Places {
		d.index.places[d.Places[i].Name] = &d.Places[i]
	}
	for i := range d.Services {
		d.addService(&d.Services[i])
	}
	for i := range d.Engines {
		engine := &d.Engines[i]
		d.index.engines[engine.Name] = engine
		d.index.byService[engine.Service] = append(d.index.byService[engine.Service], engine)
	}
	for i := range d.Classes {
		d.addClass(&d.Classes[i])
	}
	for i := range d.Workspaces {
		d.addWorkspace(&d.Workspaces[i])
	}
}

func (d *Document) addService(service *Service) {
	if service.LoadBound == 0 {
		service.LoadBound = DefaultLoadBound
	}
	if service.QueueLength == 0 {
		service.QueueLength = DefaultQueueLength
	}
	if service.Kind == KindModel && len(service.Models) == 0 {
		service.Models = []string{service.Name}
	}
	d.index.services[service.Name] = service
	for _, model := range service.Models {
		d.index.models[model] = service
	}
}

func (d *Document) addClass(class *Class) {
	if class.Deadline == 0 {
		class.Deadline = Duration(DefaultDeadline)
	}
	d.index.classes[class.Name] = class
}

func (d *Document) addWorkspace(workspace *Workspace) {
	if workspace.Share == 0 {
		workspace.Share = DefaultShare
	}
	d.index.workspaces[workspace.Name] = workspace
	for _, key := range workspace.KeysSHA256 {
		d.index.keys[strings.ToLower(key)] = workspace
	}
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service { return d.index.services[name] }

// Engine returns the engine of that name, or nil.
func (d *Document) Engine(name string) *Engine { return d.index.engines[name] }

// EnginesOf returns a service's engines in the document's order.
func (d *Document) EnginesOf(service string) []*Engine { return d.index.byService[service] }

// FailureDomainOf returns the failure domain of an engine.
func (d *Document) FailureDomainOf(engine *Engine) string {
	if place := d.index.places[engine.Place]; place != nil {
		return place.FailureDomain
	}
	return ""
}

// AddressFor returns the address at which a daemon of a failure domain reaches
// an engine.
func (d *Document) AddressFor(engine *Engine, failureDomain string) string {
	if engine.OutsideAddress != "" && d.FailureDomainOf(engine) != failureDomain {
		return engine.OutsideAddress
	}
	return engine.Address
}

// Workspace returns the workspace of that name, or nil.
func (d *Document) Workspace(name string) *Workspace { return d.index.workspaces[name] }

// WorkspaceByKey returns the workspace that a bearer key belongs to, or nil.
func (d *Document) WorkspaceByKey(key string) *Workspace {
	return d.index.keys[HashKey(key)]
}

// ServiceByModel returns the service that serves a model, or nil.
func (d *Document) ServiceByModel(model string) *Service { return d.index.models[model] }

// Class returns the class of that name, or nil. An empty name gives the
// document's first class.
func (d *Document) Class(name string) *Class {
	if name == "" && len(d.Classes) > 0 {
		return &d.Classes[0]
	}
	return d.index.classes[name]
}

// ServiceByPath returns the plain service with the longest prefix of path, or
// nil.
func (d *Document) ServiceByPath(path string) *Service {
	var found *Service
	for i := range d.Services {
		service := &d.Services[i]
		if service.Kind != KindPlain || !strings.HasPrefix(path, service.Path) {
			continue
		}
		if found == nil || len(service.Path) > len(found.Path) {
			found = service
		}
	}
	return found
}

// MayRepeat reports whether a call to the service is idempotent.
func (s *Service) MayRepeat(method, path string) bool {
	for _, pattern := range s.Repeatable {
		if pattern.matches(method, path) {
			return true
		}
	}
	return false
}

func (p CallPattern) matches(method, path string) bool {
	if p.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(p.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return p.Path == path
}

// HashKey returns the digest of a bearer key as documents hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
