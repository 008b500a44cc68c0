// SPDX-License-Identifier: Apache-2.0
#include "Utilities/vetchpost/commands.h"

#include <docopt/docopt.h>

#include <csignal>

namespace {

constexpr auto usage = R"(vetchpost - command line for operators and callers.

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
  vetchpost evacuations [--daemon ADDRESS] [--json]
  vetchpost (-h | --help)
  vetchpost --version

Commands:
  check    Check a configuration file without a daemon.
  diff     Show how a file differs from the configuration in force.
  apply    Make a file the configuration in force. Fails if another edit was accepted after REVISION.
  show     Print the configuration in force.
  history  List the accepted edits, newest first.
  status   Show the daemons, the revision in force at each, the queues and the deployments short of replicas.
  groups   Show the replica groups of the daemon's data centre and what they wait for.
  why      Show the last decisions about a group and the alternatives that were considered.
  digest   Print the digest of a caller's key, for the configuration.
  ask      Send a request as a caller.
  explain  Print what happened to a request, from the logs of entry daemons; without files, from the standard input.
  crashing Show which requests an entry daemon refuses because replicas terminated while running them.
  allow    Let the request with this identity run again, at all daemons.
  evacuations  Show which data centres are evacuated, and what an entry daemon still has in flight there.

Options:
  --daemon ADDRESS   Address of any daemon's operators' interface; of an entry daemon, its address for peers [default: 127.0.0.1:8101].
  --callers ADDRESS  Address of any daemon's callers' interface [default: 127.0.0.1:8100].
  --base REVISION    The revision that the edit is based on; the one in force if not given.
  --author NAME      Author of the edit; the user's name if not given.
  --edit-id ID       Id of the edit; send the same id again if a reply was lost.
  --stream           Print the answer as it arrives.
  --tokens N         Maximum number of tokens in the answer [default: 24].
  --json             Print JSON.

Environment: VETCHPOST_OPERATOR_TOKEN holds the operators' token, VETCHPOST_KEY the caller's key.

Exit codes: 0 done; 1 refused or failed; 2 wrong arguments or a bad file; 3 another edit was accepted first; 4 no daemon answered.
)";

constexpr auto version = "vetchpost 0.1.0";

vetchpost::command_options parseOptions(const std::map<std::string, docopt::value> &arguments)
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
    options.prompt = text("TEXT");
    options.daemonAddress = text("--daemon");
    options.callersAddress = text("--callers");
    options.baseRevision = text("--base");
    options.author = text("--author");
    options.editId = text("--edit-id");
    options.maxTokens = text("--tokens");
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
    const auto options = parseOptions(arguments);
    for (const auto &command : vetchpost::commands()) {
        if (arguments.at(command.name).asBool()) {
            return command.run(options);
        }
    }
    return vetchpost::exit_bad_arguments;
}
