package commander

import (
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/parser"
)

// newContract returns the commands for the contracts of workspaces.
func newContract() *cobra.Command {
	command := &cobra.Command{Use: "contract", Short: "Write, amend and compare contracts"}
	target := &instanceTarget{}
	target.declare(command)
	documents := documentCommands{target: target, noun: "contract", parseName: parseContractName}
	command.AddCommand(documents.newApply(), documents.newValidate(), documents.newShow(), documents.newList(), documents.newDiff(), documents.newHistory())
	return command
}

// contractPrefix is the prefix of the names of contracts among documents.
const contractPrefix = "contract/"

// parseContractName checks a contract's text and returns the document's name.
func parseContractName(file string, text []byte) (string, error) {
	contract, err := parser.ParseContract(file, text)
	if err != nil {
		return "", err
	}
	return contractPrefix + contract.Workspace(), nil
}
