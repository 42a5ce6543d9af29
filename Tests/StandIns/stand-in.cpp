#include "kernel.h"
#include "net_address.h"
#include "stand_in_engine.h"
#include "stand_in_list.h"
#include "stand_in_log.h"
#include "stand_in_relay.h"
#include "stand_in_service.h"
#include "stand_in_weights.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <vector>

using namespace cyclamen;

// A single program for all stand-ins; each instance runs as a separate process.
int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Simulates an external system that the fleet depends on.", ' ', "test");
        std::vector<std::string> kinds{"engine", "service", "log", "list", "weights", "relay"};
        TCLAP::ValuesConstraint<std::string> allowed_kinds(kinds);
        TCLAP::UnlabeledValueArg<std::string> kind("kind", "system to simulate", true, "",
                                                   &allowed_kinds, line);
        TCLAP::UnlabeledValueArg<std::string> listen("listen", "address to listen at", true, "",
                                                     "IP:PORT", line);
        TCLAP::ValueArg<std::string> instance("", "instance", "instance name", false, "stand-in",
                                              "NAME", line);
        TCLAP::ValueArg<std::string> target("", "target", "address that a relay forwards to", false,
                                            "", "IP:PORT", line);
        TCLAP::ValueArg<std::string> record("", "record",
                                            "file in which a service records its executions", false,
                                            "/dev/null", "FILE", line);
        TCLAP::ValueArg<unsigned> slots("", "slots", "slots of an engine's batch", false, 16, "N",
                                        line);
        TCLAP::ValueArg<unsigned> token_ms("", "token-ms",
                                           "time between two tokens of an engine, in milliseconds",
                                           false, 5, "MS", line);
        line.parse(argc, argv);
        const auto address = net_address::parse(listen.getValue());
        if (!address) {
            fmt::print(stderr, "invalid address {}: expected IP:PORT\n", listen.getValue());
            return 2;
        }
        kernel core({.program = "stand-in-" + kind.getValue(), .instance = instance.getValue()});
        if (kind.getValue() == "engine") {
            core.add(std::make_unique<test::stand_in_engine>(
                core, *address,
                test::engine_options{.instance = instance.getValue(),
                                     .slots = slots.getValue(),
                                     .token_ms = token_ms.getValue()}));
        }
        else if (kind.getValue() == "service") {
            core.add(std::make_unique<test::stand_in_service>(core, *address, instance.getValue(),
                                                              record.getValue()));
        }
        else if (kind.getValue() == "relay") {
            core.add(std::make_unique<test::stand_in_relay>(
                core, *address, net_address::parse(target.getValue()).value_or(net_address{})));
        }
        else if (kind.getValue() == "log") {
            core.add(std::make_unique<test::stand_in_log>(core, *address));
        }
        else if (kind.getValue() == "list") {
            core.add(std::make_unique<test::stand_in_list>(core, *address));
        }
        else {
            core.add(std::make_unique<test::stand_in_weights>(core, *address, 2.0));
        }
        return core.run();
    }
    catch (const std::exception& fault) {
        fmt::print(stderr, "{}\n", fault.what());
        return 1;
    }
}
