package parser

// Role is the kind of work that an upstream service does.
type Role string

// The roles of upstream services.
const (
	RoleEncoder   Role = "encoder"
	RoleRetriever Role = "retriever"
	RoleReranker  Role = "reranker"
	RoleEngine    Role = "engine"
	RolePlain     Role = "plain"
)

// Deployment is the configuration of one deployment: its data centres, upstream
// services, pipelines and operators. It is immutable and safe for concurrent use.
type Deployment struct {
	name        string
	datacentres []Datacentre
	services    map[string]*Service
	pipelines   map[string]*Pipeline
	operators   []Operator
	weightStore WeightStore
}

// Name returns the name of the deployment.
func (d *Deployment) Name() string { return d.name }

// Datacentres returns the data centres in the order of the document.
func (d *Deployment) Datacentres() []Datacentre { return d.datacentres }

// Service returns a service, or nil if the deployment does not have it.
func (d *Deployment) Service(name string) *Service { return d.services[name] }

// ServiceNames returns the names of all services in alphabetical order.
func (d *Deployment) ServiceNames() []string { return sortedKeys(d.services) }

// Pipeline returns a pipeline, or nil if the deployment does not have it.
func (d *Deployment) Pipeline(name string) *Pipeline { return d.pipelines[name] }

// PipelineNames returns the names of all pipelines in alphabetical order.
func (d *Deployment) PipelineNames() []string { return sortedKeys(d.pipelines) }

// Operators returns the operators in the order of the document.
func (d *Deployment) Operators() []Operator { return d.operators }

// WeightStore returns the load limits of the weight store.
func (d *Deployment) WeightStore() WeightStore { return d.weightStore }

// WeightStore holds the load limits of the weight store, from which engines load
// the weights of models.
type WeightStore struct {
	rate  float64
	burst int
}

// Rate returns the number of models per second that the store can serve.
func (w WeightStore) Rate() float64 { return w.rate }

// Burst returns the number of models that the store can serve at the same time.
func (w WeightStore) Burst() int { return w.burst }

// Datacentre is a data centre where instances and upstreams run.
type Datacentre struct {
	name   string
	region string
}

// Name returns the name of the data centre.
func (d Datacentre) Name() string { return d.name }

// Region returns the region that the data centre is in.
func (d Datacentre) Region() string { return d.region }

// Operator is a person or a program with access to the interface for operators.
type Operator struct {
	name      string
	role      string
	tokenHash string
}

// Name returns the name of the operator, which the audit trail records.
func (o Operator) Name() string { return o.name }

// Role returns "read" or "write".
func (o Operator) Role() string { return o.role }

// TokenHash returns the hexadecimal SHA-256 hash of the token of the operator.
func (o Operator) TokenHash() string { return o.tokenHash }

// Service is an upstream service, which runs on several replicas.
type Service struct {
	name             string
	role             Role
	replicaCount     int
	isFenced         bool
	hasOrderStatus   bool
	hasTokenCheck    bool
	models           []string
	maxLoadedModels  int
	minModelReplicas int
	canChangeRole    bool
	operations       map[string]Operation
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Role returns the kind of work that the service does.
func (s *Service) Role() Role { return s.role }

// ReplicaCount returns the intended number of replicas.
func (s *Service) ReplicaCount() int { return s.replicaCount }

// IsFenced reports whether the service rejects orders with an outdated fencing token;
// an engine rejects commands with one.
func (s *Service) IsFenced() bool { return s.isFenced }

// HasOrderStatus reports whether the service can be queried for the status of an order.
func (s *Service) HasOrderStatus() bool { return s.hasOrderStatus }

// HasTokenCheck reports whether the service verifies by the signed token of each order
// that an instance of the deployment sent it, and rejects others; an engine does so for
// commands.
func (s *Service) HasTokenCheck() bool { return s.hasTokenCheck }

// Models returns the models that the service serves; only engines have any.
func (s *Service) Models() []string { return s.models }

// MaxLoadedModels returns the maximum number of models that an engine has loaded at the same
// time; zero for services with another role.
func (s *Service) MaxLoadedModels() int { return s.maxLoadedModels }

// MinModelReplicas returns the minimum number of replicas in each data centre that have a
// model loaded; zero for services with another role than engine.
func (s *Service) MinModelReplicas() int { return s.minModelReplicas }

// CanChangeRole reports whether engines can switch between the roles prefill and both at
// run time.
func (s *Service) CanChangeRole() bool { return s.canChangeRole }

// Operation returns an operation of a plain service; ok is false if the service
// does not have it.
func (s *Service) Operation(name string) (Operation, bool) {
	operation, ok := s.operations[name]
	return operation, ok
}

// OperationNames returns the names of all operations in alphabetical order.
func (s *Service) OperationNames() []string { return sortedKeys(s.operations) }

// Operation is an operation of a plain service.
type Operation struct {
	name         string
	isRepeatable bool
}

// Name returns the name of the operation.
func (o Operation) Name() string { return o.name }

// IsRepeatable reports whether a call of the operation may be repeated.
func (o Operation) IsRepeatable() bool { return o.isRepeatable }

// Pipeline is a sequence of stages.
type Pipeline struct {
	name   string
	stages []Stage
}

// Name returns the name of the pipeline.
func (p *Pipeline) Name() string { return p.name }

// Stages returns the stages in the order in which they run.
func (p *Pipeline) Stages() []Stage { return p.stages }

// Stage is one step of a pipeline.
type Stage struct {
	name    string
	service string
	role    Role
}

// Name returns the name of the stage.
func (s Stage) Name() string { return s.name }

// Service returns the upstream service that runs the stage.
func (s Stage) Service() string { return s.service }

// Role returns the role of that service.
func (s Stage) Role() Role { return s.role }
