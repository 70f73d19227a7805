package examples_test

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/pkg/parser"
)

func TestExamplesHaveContractsKeysAndTexts(t *testing.T) {
	for _, name := range examples.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			example, err := examples.Load(name)
			is.NoErr(err)
			deployment, err := parser.ParseDeployment("config.yaml", []byte(example.Config()))
			is.NoErr(err)
			is.Equal(deployment.Name(), name)
			is.Equal(len(deployment.Datacentres()), 3)
			is.Equal(len(example.Contracts()), 5)
			for workspace, text := range example.Contracts() {
				contract, err := parser.ParseContract(workspace, []byte(text))
				is.NoErr(err)
				is.Equal(contract.Workspace(), workspace)
				sum := sha256.Sum256([]byte(examples.APIKey(workspace)))
				is.True(slices.Contains(contract.KeyHashes(), hex.EncodeToString(sum[:])))
				for kind := range example.Texts() {
					is.True(contract.Kind(kind) != nil) // the contract has the kind of each text
				}
			}
		})
	}
}

// TestServicesHaveExpectedReplicas checks that the services of the examples have as many
// replicas as the two companies run today.
func TestServicesHaveExpectedReplicas(t *testing.T) {
	want := map[string]map[string]int{
		"lutvik": {"oriole-pool": 18, "mill-gateway": 3, "handover-desk": 5, "kiln-watch": 5, "evap-board": 6},
		"uwazi":  {"mwandishi": 12, "jalada": 3, "kesi": 4, "taarifa": 5, "kumbukumbu": 5},
	}
	for name, services := range want {
		is := is.New(t)
		example, err := examples.Load(name)
		is.NoErr(err)
		deployment, err := parser.ParseDeployment("config.yaml", []byte(example.Config()))
		is.NoErr(err)
		for service, replicas := range services {
			is.Equal(deployment.Service(service).ReplicaCount(), replicas)
		}
	}
}

func TestLoadReportsUnknownName(t *testing.T) {
	is := is.New(t)
	_, err := examples.Load("nowhere")
	is.Equal(err.Error(), `example "nowhere": want one of lutvik, uwazi`)
}
