package commander

import (
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/parser"
)

// errFilesInvalid is the error of validate after it has printed the problems.
var errFilesInvalid = merry.New("files are not valid")

// newValidate returns the command that checks files without connecting to an instance.
func (d documentCommands) newValidate() *cobra.Command {
	var config string
	command := &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check files offline",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			problems := d.validate(args, config)
			return d.target.printProblems(command, problems, len(args))
		},
	}
	if d.onlyName == "" {
		command.Flags().StringVar(&config, "config", "", "configuration file to check the contracts against")
	}
	return command
}

// validate returns the problems of all files. It checks each file by itself, each
// contract against the configuration, and the contracts' API keys against each other.
func (d documentCommands) validate(files []string, config string) parser.Problems {
	var problems parser.Problems
	var deployment *parser.Deployment
	if config != "" {
		text, err := os.ReadFile(config)
		if err == nil {
			deployment, err = parser.ParseDeployment(config, text)
		}
		problems = append(problems, asProblems(config, err)...)
	}
	keyOwners := make(map[string]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			problems = append(problems, asProblems(file, err)...)
			continue
		}
		if d.onlyName != "" {
			_, err = parser.ParseDeployment(file, text)
			problems = append(problems, asProblems(file, err)...)
			continue
		}
		problems = append(problems, validateContract(file, text, deployment, keyOwners)...)
	}
	return problems
}

// validateContract checks one contract. keyOwners maps the API keys of the contracts
// checked so far to their workspaces, and gains those of this one.
func validateContract(file string, text []byte, deployment *parser.Deployment, keyOwners map[string]string) parser.Problems {
	contract, err := parser.ParseContract(file, text)
	if err != nil {
		return asProblems(file, err)
	}
	var problems parser.Problems
	if deployment != nil {
		problems = append(problems, asProblems(file, parser.CrossCheck(contract, deployment))...)
	}
	for _, key := range contract.KeyHashes() {
		if owner := keyOwners[key]; owner != "" && owner != contract.Workspace() {
			problems = append(problems, asProblems(file, parser.DuplicateKeyError(contract, key, owner))...)
		}
		keyOwners[key] = contract.Workspace()
	}
	return problems
}

// asProblems returns the problems in an error; an error of another type becomes one
// problem of the file.
func asProblems(file string, err error) parser.Problems {
	var problems parser.Problems
	switch {
	case err == nil:
		return nil
	case errors.As(err, &problems):
		return problems
	default:
		return parser.Problems{{File: file, Message: err.Error()}}
	}
}

// printProblems prints the problems, or the number of files if there are none. It
// returns errFilesInvalid if there are any.
func (t *instanceTarget) printProblems(command *cobra.Command, problems parser.Problems, files int) error {
	if problems == nil {
		problems = parser.Problems{}
	}
	err := t.print(command, problems, func() string {
		if len(problems) == 0 {
			return fmt.Sprintf("%d valid\n", files)
		}
		return problems.Error() + "\n"
	})
	if err == nil && len(problems) > 0 {
		err = errFilesInvalid
	}
	return err
}
