package commander

import (
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/parser"
)

// newContract returns the command for the contracts of workspaces.
func newContract() *cobra.Command {
	command := &cobra.Command{Use: "contract", Short: "Write, amend and compare contracts"}
	reach := &instanceTarget{}
	reach.declare(command)
	kind := documentCommands{target: reach, noun: "contract", parseName: parseContractName}
	command.AddCommand(kind.newApply(), kind.newValidate(), kind.newShow(), kind.newList(), kind.newDiff(), kind.newHistory())
	return command
}

// contractPrefix begins the names of contracts.
const contractPrefix = "contract/"

// parseContractName returns the document name that a contract's text is for.
func parseContractName(file string, text []byte) (string, error) {
	contract, err := parser.ParseContract(file, text)
	if err != nil {
		return "", err
	}
	return contractPrefix + contract.Workspace(), nil
}
