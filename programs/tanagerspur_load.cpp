// tanagerspur_load: generates an open-loop load on a fleet and prints a report.

#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/operations/load_generator.hpp"

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(hosts, "", "IP addresses of hosts to ask for addresses, separated by commas");
DEFINE_uint32(caller_port, 8080, "callers' port of the hosts");
DEFINE_string(mix, "", "services and their parts of the load, as name=part, separated by commas");
DEFINE_double(rate, 50, "queries per second");
DEFINE_int32(seconds, 10, "length of the load in seconds");
DEFINE_int32(deadline_ms, 1'000, "deadline of a query in milliseconds");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_string(targets, "", "address:port of the targets' stand-ins, to measure extra load");
DEFINE_bool(json, false, "write the report as JSON");
DEFINE_bool(progress, true, "write a progress line to stderr each second");

namespace
{

using namespace tanagerspur;

constexpr int exit_bad_input = 2;

int fail(const std::string& message)
{
    std::cerr << "tanagerspur_load: " << message << "\n";
    return exit_bad_input;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("tanagerspur_load --hosts=IP,IP --mix=SERVICE=1 [--rate=N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    load_options options{.rate = FLAGS_rate,
                         .length = std::chrono::seconds{FLAGS_seconds},
                         .deadline = std::chrono::milliseconds{FLAGS_deadline_ms},
                         .seed = FLAGS_seed,
                         .print_progress = FLAGS_progress};
    for (const std::string& address : split_list(FLAGS_hosts, ','))
        options.hosts.push_back(
            {.address = address, .port = static_cast<std::uint16_t>(FLAGS_caller_port)});
    for (const std::string& each : split_list(FLAGS_mix, ','))
    {
        const auto parts = split_list(each, '=');
        if (parts.empty() || parts.size() > 2)
            return fail("--mix: expected name=part, separated by commas");
        options.mix.push_back(
            {.service = parts[0],
             .relative_rate = parts.size() == 2 ? std::atof(parts[1].c_str()) : 1});
        if (options.mix.back().relative_rate <= 0)
            return fail("--mix: expected a part larger than 0 for " + parts[0]);
    }
    if (options.hosts.empty() || options.mix.empty() || FLAGS_rate <= 0)
        return fail("expected --hosts, --mix and a --rate larger than 0");
    if (!FLAGS_targets.empty())
    {
        const auto targets = parse_endpoint(FLAGS_targets);
        if (!targets)
            return fail("--targets: expected address:port by IP number");
        options.targets = *targets;
    }
    const load_result report = run_load(options);
    std::cout << (FLAGS_json ? boost::json::serialize(to_json(report)) + "\n" : to_text(report));
    return report.answered > 0 ? 0 : 1;
}
