// SPDX-License-Identifier: Apache-2.0
#include "Utilities/vetchpost/commands.h"

#include <docopt/docopt.h>

#include <csignal>

namespace {

constexpr auto usage = R"(vetchpost - the operators' and callers' command line.

Usage:
  vetchpost check FILE [--json]
  vetchpost diff FILE [--daemon ADDRESS]
  vetchpost apply FILE [--daemon ADDRESS] [--base REVISION] [--author NAME] [--edit-id ID] [--json]
  vetchpost show [--daemon ADDRESS]
  vetchpost history [--daemon ADDRESS] [--json]
  vetchpost status [--daemon ADDRESS] [--json]
  vetchpost groups [--daemon ADDRESS] [--json]
  vetchpost why GROUP [--daemon ADDRESS] [--json]
  vetchpost digest KEY
  vetchpost ask MODEL TEXT [--callers ADDRESS] [--stream] [--tokens N]
  vetchpost explain REQUEST [LOGFILE...]
  vetchpost crashing [--daemon ADDRESS] [--json]
  vetchpost allow IDENTITY [--daemon ADDRESS]
  vetchpost (-h | --help)
  vetchpost --version

Commands:
  check    Check a configuration file without a daemon.
  diff     Show how a file differs from the configuration in force.
  apply    Make a file the configuration in force. Fails where another edit was accepted since REVISION.
  show     Print the configuration in force.
  history  List the accepted edits, newest first.
  status   Show the daemons, the revision in force at each, the queues and what is short.
  groups   Show the replica groups of the daemon's data centre and what they wait for.
  why      Show the last decisions on a group, with the alternatives that were weighed.
  digest   Print the digest of a caller's key, for the configuration.
  ask      Send a request as a caller.
  explain  Tell what became of a request, from the logs of entry daemons; without files, from the standard input.
  crashing Show which requests an entry daemon refuses because replicas ended under them.
  allow    Let a request with this identity run again, at all daemons.

Options:
  --daemon ADDRESS   The operators' interface of any daemon; of an entry daemon its address for peers [default: 127.0.0.1:8101].
  --callers ADDRESS  The callers' interface of any daemon [default: 127.0.0.1:8100].
  --base REVISION    The revision that the edit was made for; the one in force if not given.
  --author NAME      Who edits; the user's name if not given.
  --edit-id ID       The edit's id; send the same id again where a reply was lost.
  --stream           Print the answer as it comes.
  --tokens N         The most tokens of the answer [default: 24].
  --json             Print JSON.

Environment: VETCHPOST_OPERATOR_TOKEN holds the operators' token, VETCHPOST_KEY the caller's key.

Exit codes: 0 done; 1 refused or failed; 2 wrong arguments or a bad file; 3 another edit was accepted first; 4 no daemon answered.
)";

constexpr auto version = "vetchpost 0.1.0";

vetchpost::command_options optionsFrom(const std::map<std::string, docopt::value> &arguments)
{
    const auto text = [&](const char *name) {
        const auto found = arguments.find(name);
        return found != arguments.end() && found->second.isString() ? found->second.asString() : std::string();
    };
    vetchpost::command_options options;
    options.file = text("FILE");
    options.group = text("GROUP");
    options.key = text("KEY");
    options.model = text("MODEL");
    options.text = text("TEXT");
    options.daemon = text("--daemon");
    options.callers = text("--callers");
    options.base = text("--base");
    options.author = text("--author");
    options.editId = text("--edit-id");
    options.tokens = text("--tokens");
    options.request = text("REQUEST");
    options.identity = text("IDENTITY");
    options.logFiles = arguments.at("LOGFILE").asStringList();
    options.isStreamed = arguments.at("--stream").asBool();
    options.asJson = arguments.at("--json").asBool();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, version);
    const auto options = optionsFrom(arguments);
    for (const auto &command : vetchpost::commands()) {
        if (arguments.at(command.name).asBool()) {
            return command.run(options);
        }
    }
    return vetchpost::exit_bad_arguments;
}
