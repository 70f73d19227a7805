package parser

import "github.com/goccy/go-yaml/ast"

// rawContract holds the fields of a contract document as they are written, with
// defaults for those that are absent. Its JSON form is stored as the checked form.
type rawContract struct {
	Contract    string             `json:"contract"`
	Rate        float64            `json:"rate,omitempty"`
	Concurrency int                `json:"concurrency,omitempty"`
	Share       float64            `json:"share,omitempty"`
	Keep        string             `json:"keep,omitempty"`
	Keys        []string           `json:"keys,omitempty"`
	Kinds       map[string]rawKind `json:"kinds"`
}

// read fills c from the root node of a document.
func (c *rawContract) read(r *reader, node ast.Node) {
	c.Share = defaultShare
	c.Keep = defaultOrderRetention
	r.readFields("", node,
		field{name: "contract", required: true, read: r.stringInto(&c.Contract)},
		field{name: "rate", read: r.numberInto(&c.Rate)},
		field{name: "concurrency", read: r.integerInto(&c.Concurrency)},
		field{name: "share", read: r.numberInto(&c.Share)},
		field{name: "keep", read: r.durationInto(&c.Keep)},
		field{name: "keys", read: r.stringsInto(&c.Keys)},
		field{name: "kinds", required: true, read: func(path string, node ast.Node) {
			c.Kinds = make(map[string]rawKind)
			for _, entry := range r.mappingEntries(path, node) {
				var kind rawKind
				kind.read(r, entry)
				c.Kinds[entry.name] = kind
			}
		}},
	)
}

// rawKind holds the fields of a kind in a contract document.
type rawKind struct {
	Pipeline    string             `json:"pipeline,omitempty"`
	Service     string             `json:"service,omitempty"`
	Operation   string             `json:"operation,omitempty"`
	Deadline    string             `json:"deadline"`
	Weight      float64            `json:"weight,omitempty"`
	Priority    string             `json:"priority,omitempty"`
	Rate        float64            `json:"rate,omitempty"`
	Concurrency int                `json:"concurrency,omitempty"`
	Effects     bool               `json:"effects,omitempty"`
	Tokens      int                `json:"tokens,omitempty"`
	Model       string             `json:"model,omitempty"`
	Budget      map[string]float64 `json:"budget,omitempty"`
}

// read fills k from the entry of a kind.
func (k *rawKind) read(r *reader, kind entry) {
	k.Weight = defaultWeight
	k.Priority = priorityNormal
	r.readFields(kind.path, kind.node,
		field{name: "pipeline", read: r.stringInto(&k.Pipeline)},
		field{name: "service", read: r.stringInto(&k.Service)},
		field{name: "operation", read: r.stringInto(&k.Operation)},
		field{name: "deadline", required: true, read: r.durationInto(&k.Deadline)},
		field{name: "weight", read: r.numberInto(&k.Weight)},
		field{name: "priority", read: r.stringInto(&k.Priority)},
		field{name: "rate", read: r.numberInto(&k.Rate)},
		field{name: "concurrency", read: r.integerInto(&k.Concurrency)},
		field{name: "effects", read: r.boolInto(&k.Effects)},
		field{name: "tokens", read: r.integerInto(&k.Tokens)},
		field{name: "model", read: r.stringInto(&k.Model)},
		field{name: "budget", read: func(path string, node ast.Node) {
			k.Budget = make(map[string]float64)
			for _, entry := range r.mappingEntries(path, node) {
				var cost float64
				r.numberInto(&cost)(entry.path, entry.node)
				k.Budget[entry.name] = cost
			}
		}},
	)
}

// rawDeployment holds the fields of a configuration document as they are written.
type rawDeployment struct {
	Deployment  string
	Datacentres []rawDatacentre
	Services    map[string]rawService
	Pipelines   map[string]rawPipeline
	Operators   []rawOperator
	Weights     rawWeights
}

// read fills d from the root node of a document.
func (d *rawDeployment) read(r *reader, node ast.Node) {
	r.readFields("", node,
		field{name: "deployment", required: true, read: r.stringInto(&d.Deployment)},
		field{name: "datacentres", required: true, read: func(path string, node ast.Node) {
			for i, itemNode := range r.listItems(path, node) {
				d.Datacentres = append(d.Datacentres, readDatacentre(r, itemPath(path, i), itemNode))
			}
		}},
		field{name: "services", required: true, read: func(path string, node ast.Node) {
			d.Services = make(map[string]rawService)
			for _, entry := range r.mappingEntries(path, node) {
				d.Services[entry.name] = readService(r, entry)
			}
		}},
		field{name: "pipelines", required: true, read: func(path string, node ast.Node) {
			d.Pipelines = make(map[string]rawPipeline)
			for _, entry := range r.mappingEntries(path, node) {
				d.Pipelines[entry.name] = readPipeline(r, entry)
			}
		}},
		field{name: "operators", read: func(path string, node ast.Node) {
			for i, itemNode := range r.listItems(path, node) {
				d.Operators = append(d.Operators, readOperator(r, itemPath(path, i), itemNode))
			}
		}},
		field{name: "weights", read: func(path string, node ast.Node) {
			r.readFields(path, node,
				field{name: "rate", read: r.numberInto(&d.Weights.Rate)},
				field{name: "burst", read: r.integerInto(&d.Weights.Burst)})
		}},
	)
}

// rawWeights holds the load limits of the weight store; zero means the default.
type rawWeights struct {
	Rate  float64
	Burst int
}

type rawDatacentre struct {
	Name   string
	Region string
}

func readDatacentre(r *reader, path string, node ast.Node) rawDatacentre {
	var raw rawDatacentre
	r.setPosition(path, node.GetToken())
	r.readFields(path, node,
		field{name: "name", required: true, read: r.stringInto(&raw.Name)},
		field{name: "region", required: true, read: r.stringInto(&raw.Region)})
	return raw
}

type rawOperator struct {
	Name  string
	Role  string
	Token string
}

func readOperator(r *reader, path string, node ast.Node) rawOperator {
	var raw rawOperator
	r.setPosition(path, node.GetToken())
	r.readFields(path, node,
		field{name: "name", required: true, read: r.stringInto(&raw.Name)},
		field{name: "role", required: true, read: r.stringInto(&raw.Role)},
		field{name: "token", required: true, read: r.stringInto(&raw.Token)})
	return raw
}

type rawService struct {
	Role       string
	Replicas   int
	Fenced     bool
	Status     bool
	Checks     bool
	Models     []string
	Hold       int
	Floor      int
	Roles      bool
	Operations map[string]rawOperation
}

func readService(r *reader, service entry) rawService {
	var raw rawService
	r.readFields(service.path, service.node,
		field{name: "role", required: true, read: r.stringInto(&raw.Role)},
		field{name: "replicas", required: true, read: r.integerInto(&raw.Replicas)},
		field{name: "fenced", read: r.boolInto(&raw.Fenced)},
		field{name: "status", read: r.boolInto(&raw.Status)},
		field{name: "checks", read: r.boolInto(&raw.Checks)},
		field{name: "models", read: r.stringsInto(&raw.Models)},
		field{name: "hold", read: r.integerInto(&raw.Hold)},
		field{name: "floor", read: r.integerInto(&raw.Floor)},
		field{name: "roles", read: r.boolInto(&raw.Roles)},
		field{name: "operations", read: func(path string, node ast.Node) {
			raw.Operations = make(map[string]rawOperation)
			for _, entry := range r.mappingEntries(path, node) {
				var operation rawOperation
				r.readFields(entry.path, entry.node, field{name: "repeat", required: true, read: r.boolInto(&operation.Repeat)})
				raw.Operations[entry.name] = operation
			}
		}},
	)
	return raw
}

type rawOperation struct {
	Repeat bool
}

type rawPipeline struct {
	Stages []rawStage
}

func readPipeline(r *reader, pipeline entry) rawPipeline {
	var raw rawPipeline
	r.readFields(pipeline.path, pipeline.node, field{name: "stages", required: true, read: func(path string, node ast.Node) {
		for i, itemNode := range r.listItems(path, node) {
			raw.Stages = append(raw.Stages, readStage(r, itemPath(path, i), itemNode))
		}
	}})
	return raw
}

type rawStage struct {
	Name    string
	Service string
}

func readStage(r *reader, path string, node ast.Node) rawStage {
	var raw rawStage
	r.setPosition(path, node.GetToken())
	r.readFields(path, node,
		field{name: "name", required: true, read: r.stringInto(&raw.Name)},
		field{name: "service", required: true, read: r.stringInto(&raw.Service)})
	return raw
}
