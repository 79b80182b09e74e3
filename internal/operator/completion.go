package operator

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// completion runs vpier completion.
func (p *Program) completion(a *completionArgs) error {
	script, err := completionScript(a.Shell)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(p.Stdout, script)
	return err
}

// completionScript returns the completion script for a shell, generated from the
// commands and their flags. The script for zsh uses bashcompinit to run that for bash.
func completionScript(shell string) (string, error) {
	head := ""
	switch shell {
	case "bash":
	case "zsh":
		head = "autoload -U +X bashcompinit && bashcompinit\n"
	default:
		return "", model.Errorf(model.KindInvalid, "use bash or zsh", "no completion for shell %q", shell)
	}
	root := reflect.TypeFor[rootArgs]()
	global := flagNames(root)
	var names []string
	var cases strings.Builder
	for i := range root.NumField() {
		name, ok := strings.CutPrefix(root.Field(i).Tag.Get("arg"), "subcommand:")
		if !ok {
			continue
		}
		names = append(names, name)
		flags := append(flagNames(root.Field(i).Type.Elem()), global...)
		fmt.Fprintf(&cases, "    %s) words=\"%s\" ;;\n", name, strings.Join(flags, " "))
	}
	return head + fmt.Sprintf(completionTemplate, strings.Join(append(names, global...), " "), cases.String()), nil
}

// completionTemplate completes the command, then its flags or a file name.
const completionTemplate = `_vpier() {
  local words="%s"
  if [ "$COMP_CWORD" -gt 1 ]; then
    case "${COMP_WORDS[1]}" in
%s    esac
  fi
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _vpier vpier
`

// flagNames returns the long flags of a struct and its embedded structs.
func flagNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			names = append(names, flagNames(field.Type)...)
		}
		for _, part := range strings.Split(field.Tag.Get("arg"), ",") {
			if strings.HasPrefix(part, "--") {
				names = append(names, part)
			}
		}
	}
	return names
}
