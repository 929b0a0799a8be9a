/** The help text of the command line. */
export const helpText = `
  Usage
    $ nutmegjunction <command> [options]

  Processes
    gateway                      Serve callers and operators.
    steward                      Run the control duties.

  Commands
    config check <folder>        Check base.yaml and sites/*.yaml; report all findings.
    config diff <folder>         Show what the files would change.
    config apply <folder>        Write the files as a new version.
    config status                Show the active version and the zones without it.
    key create <team>            Create a key; it is shown once.
    key withdraw <key id>        Withdraw a key.
    key list                     List the keys by id and team.
    drain start <server> [why]   Send no new work to a backend server.
    drain stop <server>          Send work to it again.
    drain list                   List the drains.
    status                       Show a gateway's state.

  Options
    --admin-address ip:port      A gateway's listener for operators.
    --operator-key key           The operators' key; prefer NUTMEGJUNCTION_OPERATOR_KEY.
    --json                       Print JSON.
    Settings of the processes are listed in docs/SETTINGS.md.

  Exit codes
    0 done, 1 failed or refused, 2 bad input and nothing done, 3 written but not yet in force everywhere

  Examples
    $ nutmegjunction config check examples/sturtubot
    $ nutmegjunction config apply examples/sturtubot --admin-address 127.0.0.1:7002
    $ nutmegjunction key create hveragerdi --json
`;
