package operator

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/vanillapier/vanillapier/internal/model"
)

// envPrefix is the prefix of vpier's environment variables.
const envPrefix = "VPIER_"

// outputFormat is the value of --output.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// UnmarshalText parses the value of --output.
func (o *outputFormat) UnmarshalText(text []byte) error {
	*o = outputFormat(text)
	if *o != outputText && *o != outputJSON {
		return fmt.Errorf("%q is neither text nor json", text)
	}
	return nil
}

// clientArgs are the flags for the connection to the nodes.
type clientArgs struct {
	Nodes      []string      `arg:"--node,separate,env:NODES" placeholder:"ADDRESS" help:"node to ask, as host:port or URL; repeat the flag or separate with commas in the variable; tried in turn"`
	OrderNodes []string      `arg:"--order-node,separate,env:ORDER_NODES" placeholder:"ADDRESS" help:"node that takes orders, when it differs from --node"`
	TokenFile  string        `arg:"--token-file,env:TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token"`
	CA         string        `arg:"--ca,env:CA" placeholder:"FILE" help:"PEM file of the authority that signed the nodes' certificates; the system's authorities when absent"`
	Cert       string        `arg:"--cert,env:CERT" placeholder:"FILE" help:"PEM file of the operator's client certificate"`
	Key        string        `arg:"--key,env:KEY" placeholder:"FILE" help:"PEM file of the client certificate's key"`
	Plaintext  bool          `arg:"--plaintext,env:PLAINTEXT" help:"allow http to other hosts than this one; the token can then be read on the way"`
	Timeout    time.Duration `arg:"--timeout,env:TIMEOUT" default:"15s" placeholder:"DURATION" help:"time limit of one request to one node, such as 500ms or 15s"`
}

// rootArgs holds the subcommands and global flags.
type rootArgs struct {
	Check        *checkArgs        `arg:"subcommand:check" help:"check a declaration"`
	Diff         *diffArgs         `arg:"subcommand:diff" help:"compare two declarations by services, dependants and capacity"`
	Propose      *proposeArgs      `arg:"subcommand:propose" help:"put a declaration before the board"`
	Accept       *acceptArgs       `arg:"subcommand:accept" help:"put a proposal in force"`
	Reject       *rejectArgs       `arg:"subcommand:reject" help:"send a proposal back"`
	History      *historyArgs      `arg:"subcommand:history" help:"list commands and member changes"`
	Drain        *drainArgs        `arg:"subcommand:drain" help:"take a data centre out of service"`
	Return       *returnArgs       `arg:"subcommand:return" help:"return a data centre to service"`
	Status       *statusArgs       `arg:"subcommand:status" help:"show nodes and data centres, or wait for them"`
	Submit       *submitArgs       `arg:"subcommand:submit" help:"submit a batch job"`
	Cancel       *cancelArgs       `arg:"subcommand:cancel" help:"cancel a batch job"`
	Replay       *replayArgs       `arg:"subcommand:replay" help:"replay a trace under several configurations"`
	Dev          *devArgs          `arg:"subcommand:dev" help:"run the system and its stand-ins in one process"`
	Fleet        *fleetArgs        `arg:"subcommand:fleet" help:"show workers and waiting work of a deployment on the platform"`
	Soak         *soakArgs         `arg:"subcommand:soak" help:"run nodes against stand-ins under seeded faults and check the promises"`
	TraceSummary *traceSummaryArgs `arg:"subcommand:trace-summary" help:"summarise decision log lines"`
	Trace        *traceArgs        `arg:"subcommand:trace" help:"turn decision log lines into a trace for replay"`
	Losses       *lossesArgs       `arg:"subcommand:losses" help:"show from logs which jobs missed their objectives and why"`
	Completion   *completionArgs   `arg:"subcommand:completion" help:"print a shell completion script"`

	clientArgs
	Output outputFormat `arg:"-o,--output,env:OUTPUT" default:"text" placeholder:"text|json" help:"form of the result"`

	version string
}

// Description is shown at the top of the help.
func (*rootArgs) Description() string {
	return "vpier is the operators' command line of vanillapier."
}

// Epilogue is shown at the end of the help.
func (*rootArgs) Epilogue() string {
	return "Exit codes: 0 ok, 1 the checked thing failed, 2 usage or bad input, 3 conflict, 4 unavailable, 5 unknown result."
}

// Version is shown by --version.
func (a *rootArgs) Version() string { return a.version }

type checkArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"declaration, or - for standard input"`
}

type diffArgs struct {
	Old string `arg:"positional,required" placeholder:"OLD" help:"declaration, or the word accepted for the one in force"`
	New string `arg:"positional,required" placeholder:"NEW" help:"declaration, or the word accepted for the one in force"`
}

// commandArgs are the flags of commands that append a record to the control journal.
type commandArgs struct {
	RequestID string `arg:"--request-id,env:REQUEST_ID" placeholder:"ID" help:"id of the command, to repeat one whose result is unknown; random when absent"`
	Seen      uint64 `arg:"--seen,env:SEEN" placeholder:"SEQUENCE" help:"control sequence on which the decision rests; the latest when absent"`
}

// waitArgs are the flags of commands that can wait.
type waitArgs struct {
	Wait        bool          `arg:"-w,--wait,env:WAIT" help:"wait until the change is in force, showing progress"`
	WaitTimeout time.Duration `arg:"--wait-timeout,env:WAIT_TIMEOUT" default:"10m" placeholder:"DURATION" help:"longest wait, such as 90s or 10m"`
}

type proposeArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"declaration, or - for standard input"`
	Note string `arg:"--note,env:NOTE" placeholder:"TEXT" help:"note for the board"`
	commandArgs
}

type acceptArgs struct {
	Proposal uint64 `arg:"positional" placeholder:"PROPOSAL" help:"sequence of the proposal; the only open one when absent"`
	Digest   string `arg:"--digest,env:DIGEST" placeholder:"DIGEST" help:"digest that was reviewed; the command fails when the proposal has another"`
	commandArgs
	waitArgs
}

type rejectArgs struct {
	Proposal uint64 `arg:"positional" placeholder:"PROPOSAL" help:"sequence of the proposal; the only open one when absent"`
	Reason   string `arg:"--reason,env:REASON" placeholder:"TEXT" help:"reason for the author; required"`
	commandArgs
}

type historyArgs struct {
	From    uint64 `arg:"--from,env:FROM" default:"1" placeholder:"SEQUENCE" help:"first sequence to list"`
	Limit   int    `arg:"--limit,env:LIMIT" default:"100" placeholder:"COUNT" help:"largest number of entries"`
	Request string `arg:"--find-request,env:FIND_REQUEST" placeholder:"ID" help:"list only the entry with this request id"`
	Export  string `arg:"--export,env:EXPORT" placeholder:"FILE" help:"write the reviewed texts with their decisions to a new file"`
}

type drainArgs struct {
	DataCentre string `arg:"positional,required" placeholder:"DC" help:"data centre"`
	Reason     string `arg:"--reason,env:REASON" placeholder:"TEXT" help:"reason, for the history"`
	commandArgs
	waitArgs
}

type returnArgs struct {
	DataCentre string `arg:"positional,required" placeholder:"DC" help:"data centre"`
	commandArgs
	waitArgs
}

type statusArgs struct {
	DataCentre string `arg:"--data-centre,env:DATA_CENTRE" placeholder:"DC" help:"with --wait: wait until no work is left there"`
	Sequence   uint64 `arg:"--sequence,env:SEQUENCE" placeholder:"SEQUENCE" help:"with --wait: wait until all nodes have applied it; the latest when absent"`
	waitArgs
}

type submitArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"job as YAML or JSON, or - for standard input"`
	Key  string `arg:"--idempotency-key,env:IDEMPOTENCY_KEY" placeholder:"KEY" help:"key that makes a repeated submission the same job; derived from the job when absent"`
}

type cancelArgs struct {
	Job string `arg:"positional,required" placeholder:"JOB" help:"job id, as printed by submit"`
}

type replayArgs struct {
	Trace   string   `arg:"positional,required" placeholder:"TRACE" help:"recorded trace"`
	Configs []string `arg:"--config,separate,env:CONFIGS" placeholder:"FILE" help:"configuration to replay under; repeat the flag to compare"`
	Seed    uint64   `arg:"--seed,env:SEED" default:"1" placeholder:"NUMBER" help:"seed of every random choice"`
	HTML    string   `arg:"--html,env:HTML" placeholder:"FILE" help:"write a self-contained report with plots"`
}

type devArgs struct {
	Seed       uint64        `arg:"--seed,env:SEED" default:"0" placeholder:"NUMBER" help:"seed of load and faults; 0 takes the trace's"`
	Nodes      int           `arg:"--nodes,env:DEV_NODES" default:"6" placeholder:"COUNT" help:"number of nodes, 3 to 32"`
	Sample     string        `arg:"--sample,env:SAMPLE" placeholder:"NAME" help:"built-in sample deployment, a file NAME.yaml of the folder examples; the first when absent"`
	Deployment string        `arg:"--deployment,env:DEPLOYMENT" placeholder:"FILE" help:"declaration to load in place of the sample's"`
	Trace      string        `arg:"--trace,env:TRACE" placeholder:"FILE" help:"recorded trace; the sample's, or a generated one for --deployment, when absent"`
	WriteTrace string        `arg:"--write-trace,env:WRITE_TRACE" placeholder:"FILE" help:"write a generated trace for the declaration and end"`
	Keep       bool          `arg:"--keep,env:KEEP" help:"keep the endpoints up after the run until interrupted"`
	Duration   time.Duration `arg:"--duration,env:DURATION" default:"0s" placeholder:"DURATION" help:"replay only this much of the trace; 0s replays all of it"`
	LogFile    string        `arg:"--log-file,env:LOG_FILE" placeholder:"FILE" help:"file for the nodes' log lines; when absent they are kept only if a requirement is missed"`
}

type fleetArgs struct {
	Metrics []string `arg:"--metrics,separate,required,env:FLEET_METRICS" placeholder:"IP:PORT" help:"metrics address of a node; repeat it to find the one that leads"`
	Job     string   `arg:"--job,env:FLEET_JOB" placeholder:"ID" help:"also show this job, its runs and why it waits"`
}

type soakArgs struct {
	Seed           uint64        `arg:"--seed,env:SEED" default:"1" placeholder:"NUMBER" help:"first seed"`
	Seeds          int           `arg:"--seeds,env:SOAK_SEEDS" default:"1" placeholder:"COUNT" help:"number of seeds, one after the other"`
	Nodes          int           `arg:"--nodes,env:SOAK_NODES" default:"4" placeholder:"COUNT" help:"number of nodes, 1 to 32, with --aim to 64"`
	Workers        int           `arg:"--workers,env:SOAK_WORKERS" default:"6" placeholder:"COUNT" help:"number of workers, 1 to 100, with --aim to 400"`
	Cells          int           `arg:"--cells,env:SOAK_CELLS" default:"0" placeholder:"COUNT" help:"number of cells of the fleet, at most 32; 0 leaves it to the nodes"`
	Aim            string        `arg:"--aim,env:SOAK_AIM" placeholder:"TARGET" help:"leader: faults aimed at the leader of the moment, in place of all others, on up to 64 nodes and 400 workers"`
	Small          int           `arg:"--small,env:SOAK_SMALL" default:"0" placeholder:"COUNT" help:"with --aim leader: number of nodes with 0.19 of a processor and links of 10 Mbit/s; the large hosts are lost one after the other"`
	SilentRestarts bool          `arg:"--silent-restarts,env:SOAK_SILENT_RESTARTS" help:"workers fall silent, start again and are cut off soon after, beside long tasks, signals and restarts"`
	Length         time.Duration `arg:"--length,env:SOAK_LENGTH" default:"14s" placeholder:"DURATION" help:"time during which faults begin, from 5s to 1h"`
	Prefix         int           `arg:"--prefix,env:SOAK_PREFIX" default:"0" placeholder:"COUNT" help:"play only the first faults of the schedule, to shrink one that breaks a promise; 0 plays all"`
	Binary         string        `arg:"--binary,env:SOAK_BINARY" default:"bin/vpierd" placeholder:"FILE" help:"program of the nodes"`
	Logs           string        `arg:"--logs,env:SOAK_LOGS" placeholder:"FOLDER" help:"folder for the logs, with one of its own for each run; when absent, the logs of runs that broke a promise stay in a temporary folder"`
	HTML           string        `arg:"--html,env:SOAK_HTML" placeholder:"FILE" help:"page with a timeline of faults and broken promises"`
}

type traceSummaryArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"log of a node, one JSON object on each line, or - for standard input"`
}

type traceArgs struct {
	File       string  `arg:"positional,required" placeholder:"FILE" help:"logs of all nodes, in any order, or - for standard input"`
	Deployment string  `arg:"--deployment,env:DEPLOYMENT" placeholder:"FILE" help:"declaration that was in force; absent for logs of nodes on the platform"`
	Out        string  `arg:"--out,required,env:TRACE_OUT" placeholder:"FILE" help:"file for the trace"`
	Slope      float64 `arg:"--slope,env:TRACE_SLOPE" default:"0.05" placeholder:"NUMBER" help:"slowdown of a service by a batch class that uses a whole worker"`
}

type lossesArgs struct {
	Files     []string `arg:"positional,required" placeholder:"FILE" help:"logs of all nodes, a file for each run; the first one is the baseline"`
	LateShare float64  `arg:"--late-share,env:LATE_SHARE" default:"0.15" placeholder:"NUMBER" help:"share of its value that a late job keeps, from 0 to 1"`
	HTML      string   `arg:"--html,env:HTML" placeholder:"FILE" help:"write the table and plots as one HTML page"`
}

type completionArgs struct {
	Shell string `arg:"positional,required" placeholder:"SHELL" help:"bash or zsh"`
}

// parse reads the command line and the environment. The boolean is true when it has
// printed the help or the version.
func (p *Program) parse(argv []string) (*rootArgs, bool, error) {
	args := &rootArgs{version: "vpier " + p.Version}
	if err := checkEnviron(p.Environ); err != nil {
		return nil, false, err
	}
	parser, err := arg.NewParser(arg.Config{Program: "vpier", EnvPrefix: envPrefix, Out: io.Discard, Exit: func(int) {}}, args)
	if err != nil {
		return nil, false, err
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return nil, true, parser.WriteHelpForSubcommand(p.Stdout, parser.SubcommandNames()...)
	case errors.Is(err, arg.ErrVersion):
		_, err := fmt.Fprintln(p.Stdout, args.Version())
		return nil, true, err
	case err != nil:
		return nil, false, usageError(err, parser.SubcommandNames())
	case parser.Subcommand() == nil:
		return nil, false, model.Errorf(model.KindInvalid, "run vpier --help for the list", "no command is given")
	}
	return args, false, nil
}

// usageError adds a remedy to an error of the parser.
func usageError(err error, names []string) error {
	help := strings.Join(append([]string{"vpier"}, names...), " ") + " --help"
	return model.Errorf(model.KindInvalid, "run "+help+" for flags, units and defaults", "%s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// checkEnviron rejects unknown variables with vpier's prefix. Otherwise a misspelled
// variable would be ignored silently.
func checkEnviron(environ []string) error {
	known := envNames(reflect.TypeFor[rootArgs]())
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, envPrefix) && !slices.Contains(known, name) {
			return model.Errorf(model.KindInvalid, "unset it or correct its name; vpier --help lists the variables", "the environment variable %s is not known", name)
		}
	}
	return nil
}

// envNames returns the environment variables of a struct's flags and subcommands.
func envNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		for _, part := range strings.Split(field.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				names = append(names, envPrefix+name)
			}
		}
		if inner := field.Type; inner.Kind() == reflect.Pointer && inner.Elem().Kind() == reflect.Struct {
			names = append(names, envNames(inner.Elem())...)
		} else if field.Anonymous {
			names = append(names, envNames(inner)...)
		}
	}
	return names
}
