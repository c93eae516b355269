package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// index maps names, models and keys to the entries of a document.
type index struct {
	services         map[string]*Service
	engines          map[string]*Engine
	enginesByService map[string][]*Engine
	places           map[string]*Place
	workspaces       map[string]*Workspace
	workspaceByKey   map[string]*Workspace
	serviceByModel   map[string]*Service
	classes          map[string]*Class
}

// applyDefaultsAndIndex sets the optional values that the document leaves out
// and builds the index.
func (d *Document) applyDefaultsAndIndex() {
	d.index = index{
		services:         make(map[string]*Service),
		engines:          make(map[string]*Engine),
		enginesByService: make(map[string][]*Engine),
		places:           make(map[string]*Place),
		workspaces:       make(map[string]*Workspace),
		workspaceByKey:   make(map[string]*Workspace),
		serviceByModel:   make(map[string]*Service),
		classes:          make(map[string]*Class),
	}
	for i := range d.Places {
		d.index.places[d.Places[i].Name] = &d.Places[i]
	}
	for i := range d.Services {
		d.indexService(&d.Services[i])
	}
	for i := range d.Engines {
		engine := &d.Engines[i]
		d.index.engines[engine.Name] = engine
		d.index.enginesByService[engine.Service] = append(d.index.enginesByService[engine.Service], engine)
	}
	for i := range d.Classes {
		d.indexClass(&d.Classes[i])
	}
	for i := range d.Workspaces {
		d.indexWorkspace(&d.Workspaces[i])
	}
}

func (d *Document) indexService(service *Service) {
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
		d.index.serviceByModel[model] = service
	}
}

func (d *Document) indexClass(class *Class) {
	if class.Deadline == 0 {
		class.Deadline = Duration(DefaultDeadline)
	}
	d.index.classes[class.Name] = class
}

func (d *Document) indexWorkspace(workspace *Workspace) {
	if workspace.Share == 0 {
		workspace.Share = DefaultShare
	}
	d.index.workspaces[workspace.Name] = workspace
	for _, key := range workspace.KeysSHA256 {
		d.index.workspaceByKey[strings.ToLower(key)] = workspace
	}
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service { return d.index.services[name] }

// Engine returns the engine with the given name, or nil.
func (d *Document) Engine(name string) *Engine { return d.index.engines[name] }

// EnginesOf returns a service's engines in the order of the document.
func (d *Document) EnginesOf(service string) []*Engine { return d.index.enginesByService[service] }

// FailureDomainOf returns the failure domain of an engine's place, or "" if the
// document does not have the place.
func (d *Document) FailureDomainOf(engine *Engine) string {
	if place := d.index.places[engine.Place]; place != nil {
		return place.FailureDomain
	}
	return ""
}

// IsEvacuated reports whether an engine is in a place that is evacuated.
func (d *Document) IsEvacuated(engineName string) bool {
	engine := d.index.engines[engineName]
	if engine == nil {
		return false
	}
	place := d.index.places[engine.Place]
	return place != nil && place.Evacuated
}

// AddressFor returns the engine's address for daemons in failureDomain.
func (d *Document) AddressFor(engine *Engine, failureDomain string) string {
	if engine.OutsideAddress != "" && d.FailureDomainOf(engine) != failureDomain {
		return engine.OutsideAddress
	}
	return engine.Address
}

// Workspace returns the workspace with the given name, or nil.
func (d *Document) Workspace(name string) *Workspace { return d.index.workspaces[name] }

// WorkspaceByKey returns the workspace that owns a bearer key, or nil.
func (d *Document) WorkspaceByKey(key string) *Workspace {
	return d.index.workspaceByKey[HashKey(key)]
}

// ServiceByModel returns the service that serves a model, or nil.
func (d *Document) ServiceByModel(model string) *Service { return d.index.serviceByModel[model] }

// Class returns the class with the given name, or nil. For an empty name it
// returns the document's first class.
func (d *Document) Class(name string) *Class {
	if name == "" && len(d.Classes) > 0 {
		return &d.Classes[0]
	}
	return d.index.classes[name]
}

// ServiceByPath returns the plain service whose path is the longest prefix of
// path, or nil.
func (d *Document) ServiceByPath(path string) *Service {
	var longest *Service
	for i := range d.Services {
		service := &d.Services[i]
		if service.Kind != KindPlain || !strings.HasPrefix(path, service.Path) {
			continue
		}
		if longest == nil || len(service.Path) > len(longest.Path) {
			longest = service
		}
	}
	return longest
}

// IsRepeatable reports whether the document declares a call to the plain service
// idempotent.
func (s *Service) IsRepeatable(method, path string) bool {
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

// HashKey returns the digest of a bearer key in the form of
// Workspace.KeysSHA256.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}
